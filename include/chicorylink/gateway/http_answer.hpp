#ifndef CHICORYLINK_GATEWAY_HTTP_ANSWER_HPP
#define CHICORYLINK_GATEWAY_HTTP_ANSWER_HPP

#include "chicorylink/platform/http_request.hpp"

#include <string>

namespace chicorylink::gateway {

/// @brief A complete HTTP response, sent with its length.
struct http_answer {
    int status = 200;
    platform::header_list headers;
    std::string body;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_HTTP_ANSWER_HPP
