#ifndef CHICORYLINK_PROGRAMS_CHICORYLINK_HTTP_CLIENT_HPP
#define CHICORYLINK_PROGRAMS_CHICORYLINK_HTTP_CLIENT_HPP

#include <string>

namespace chicorylink::cli {

/// @brief The response to a call, or the reason why there is none.
struct http_result {
    /// 0 when there is no response.
    long status = 0;
    std::string body;
    /// Empty when there is a response.
    std::string failure;
};

/// @brief Makes one call and waits for its response.
/// @param method `GET` or `POST`; a POST has an empty body.
[[nodiscard]] http_result http_call(const std::string& method, const std::string& url);

} // namespace chicorylink::cli

#endif // CHICORYLINK_PROGRAMS_CHICORYLINK_HTTP_CLIENT_HPP
