#ifndef CHICORYLINK_GATEWAY_FORWARDED_RESPONSE_HPP
#define CHICORYLINK_GATEWAY_FORWARDED_RESPONSE_HPP

#include "chicorylink/gateway/active_request.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace chicorylink::gateway {

/// Functions for the response that another VM sends over a peer link: the length of the head, the
/// head, then the body. The caller holds the request's lock.

/// @brief Parses the next bytes; complete events of a streamed response are delivered at once.
/// @return False when the head is malformed or the response exceeds its size limit.
[[nodiscard]] bool take_forwarded_bytes(active_request& entry, std::span<const std::uint8_t> bytes,
                                        std::size_t max_bytes);

/// @brief Whether head and body have arrived completely.
[[nodiscard]] bool is_forwarded_response_complete(const active_request& entry);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_FORWARDED_RESPONSE_HPP
