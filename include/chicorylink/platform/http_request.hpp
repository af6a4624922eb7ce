#ifndef CHICORYLINK_PLATFORM_HTTP_REQUEST_HPP
#define CHICORYLINK_PLATFORM_HTTP_REQUEST_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/platform/header_list.hpp"

#include <string>

namespace chicorylink::platform {

/// @brief An HTTP request to an external system.
struct http_request {
    std::string method = "GET";
    std::string url;
    header_list headers;
    std::string body;
    /// Timeout of the whole call, including the connection setup.
    base::milliseconds timeout{10'000};
    /// Whether the library may send the request again when a reused connection turns out to be
    /// closed. A request for which this is false gets its own connection.
    bool retryable = true;
};

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HTTP_REQUEST_HPP
