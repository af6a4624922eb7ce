#ifndef CHICORYLINK_GATEWAY_HTTP_FETCHER_HPP
#define CHICORYLINK_GATEWAY_HTTP_FETCHER_HPP

#include "chicorylink/base/units.hpp"

#include <functional>
#include <memory>
#include <string>

namespace chicorylink::platform {
class http_client;
} // namespace chicorylink::platform

namespace chicorylink::gateway {

class control_loop;

/// @brief The result of a GET request, delivered on the control loop.
struct fetch_result {
    /// Zero if no complete response arrived.
    int status = 0;
    std::string body;
    base::time_point requested_at{};
};

/// @brief Sends GET requests and handles their responses on the control loop.
class http_fetcher {
public:
    /// Maximum size of a response body.
    static constexpr std::size_t max_response_bytes = 2UL * 1024UL * 1024;

    http_fetcher(platform::http_client& http, control_loop& loop,
                 std::function<base::time_point()> now);

    /// @brief Starts one request.
    /// @param done Called once, on the control loop.
    void get(const std::string& url, base::milliseconds timeout,
             std::function<void(const fetch_result&)> done);

private:
    platform::http_client& m_http;
    control_loop& m_loop;
    std::function<base::time_point()> m_now;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_HTTP_FETCHER_HPP
