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

/// @brief The response to a request.
struct http_response {
    int status = 200;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// When set, the body is streamed: each call returns the next chunk, or no value at the end.
    std::function<std::optional<std::string>()> next_chunk;
    /// Called once after the response was sent or aborted; the argument tells whether it was sent
    /// completely.
    std::function<void(bool)> on_finished;
    /// Closes the connection without a response.
    bool drop = false;
    /// Set by `next_chunk` to abort the connection instead of ending the stream.
    std::shared_ptr<bool> broken;
    /// When set, a body that is not streamed is truncated to this many bytes and the connection
    /// aborted.
    std::optional<std::size_t> truncate_after;
};

/// @brief A response with a JSON value as its body.
[[nodiscard]] http_response json_response(int status, const nlohmann::json& value);

/// @brief A response with the body `{"error": message}`.
[[nodiscard]] http_response error_response(int status, const std::string& message);

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_HTTP_RESPONSE_HPP
