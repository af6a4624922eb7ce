#ifndef CHICORYLINK_PROGRAMS_CHICORYLINK_HTTP_CLIENT_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINK_HTTP_CLIENT_HPP

#include <string>

namespace chicorylink::cli {

/// @brief The answer to a call, or why there is none.
struct http_answer {
    /// 0 when there is no answer.
    long status = 0;
    std::string body;
    /// Empty when there is an answer.
    std::string failure;
};

/// @brief Makes one call and waits for its answer.
/// @param method `GET` or `POST`; a POST has an empty body.
[[nodiscard]] http_answer http_call(const std::string& method, const std::string& url);

} // namespace chicorylink::cli

#endif // CHICORYLINK_PROGRAMS_CHICORYLINK_HTTP_CLIENT_HPP
