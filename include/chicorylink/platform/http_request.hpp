#ifndef CHICORYLINK_PLATFORM_HTTP_REQUEST_HPP
#define CHICORYLINK_PLATFORM_HTTP_REQUEST_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/platform/header_list.hpp"

#include <string>

namespace chicorylink::platform {

/// @brief One HTTP call to an outside system.
struct http_request {
    std::string method = "GET";
    std::string url;
    header_list headers;
    std::string body;
    /// The whole call, connecting included.
    base::milliseconds timeout{10'000};
    /// Whether the library may send the call a second time when a kept-alive connection turns out
    /// to be dead. A call that is not repeatable gets a connection of its own.
    bool repeatable = true;
};

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HTTP_REQUEST_HPP
