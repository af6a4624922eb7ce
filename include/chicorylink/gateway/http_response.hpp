#ifndef CHICORYLINK_GATEWAY_HTTP_RESPONSE_HPP
#define CHICORYLINK_GATEWAY_HTTP_RESPONSE_HPP

#include "chicorylink/platform/http_request.hpp"

#include <string>

namespace chicorylink::gateway {

/// @brief A complete HTTP response, sent with its length.
struct http_response {
    int status = 200;
    platform::header_list headers;
    std::string body;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_HTTP_RESPONSE_HPP
