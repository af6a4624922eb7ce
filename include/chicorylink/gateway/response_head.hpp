#ifndef CHICORYLINK_GATEWAY_RESPONSE_HEAD_HPP
#define CHICORYLINK_GATEWAY_RESPONSE_HEAD_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/gateway/refusal.hpp"
#include "chicorylink/platform/http_request.hpp"

#include <cstdint>

namespace chicorylink::gateway {

/// @brief The head of the response to a forwarded request; the body follows on the stream.
struct response_head {
    int status = 0;
    platform::header_list headers;
    /// Whether the body is streamed as it arrives; otherwise it has `body_bytes` bytes.
    bool stream = false;
    run_outcome outcome = run_outcome::ran;
    std::uint32_t body_bytes = 0;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_RESPONSE_HEAD_HPP
