#ifndef CHICORYLINK_DISPATCH_STORED_RESPONSE_HPP
#define CHICORYLINK_DISPATCH_STORED_RESPONSE_HPP

#include "chicorylink/base/secret.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::dispatch {

/// @brief The response to a request that ran, kept for repeats of the request.
struct stored_response {
    /// The HTTP status.
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    /// Digest of the whole body, also when the body is not kept.
    base::digest body_digest{};
    /// False when the body was too large to keep; repeats then get only the status and digest.
    bool has_body = true;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_STORED_RESPONSE_HPP
