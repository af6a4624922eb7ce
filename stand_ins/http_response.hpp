#ifndef CHICORYLINK_STAND_INS_HTTP_RESPONSE_HPP
#define CHICORYLINK_STAND_INS_HTTP_RESPONSE_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace chicorylink::stand_ins {

/// @brief The answer to a request.
struct http_response {
    int status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// When set, the body is streamed: each call gives the next piece, the end is an empty value.
    std::function<std::optional<std::string>()> next_piece;
    /// Called once when the answer is sent or given up; the argument tells whether it was sent
    /// whole.
    std::function<void(bool)> finished;
    /// Closes the connection without any answer.
    bool drop = false;
    /// Set by `next_piece` to break the connection instead of ending the stream.
    std::shared_ptr<bool> broken;
    /// When set, a plain body is cut after this many bytes and the connection broken.
    std::optional<std::size_t> cut_after;
};

/// @brief An answer that carries a JSON value.
[[nodiscard]] http_response json_response(int status, const nlohmann::json& value);

/// @brief An answer that carries `{"error": message}`.
[[nodiscard]] http_response error_response(int status, const std::string& message);

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_HTTP_RESPONSE_HPP
