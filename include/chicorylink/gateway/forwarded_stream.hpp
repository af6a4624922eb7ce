#ifndef CHICORYLINK_GATEWAY_FORWARDED_STREAM_HPP
#define CHICORYLINK_GATEWAY_FORWARDED_STREAM_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/wire/stream_handler.hpp"
#include "chicorylink/wire/stream_id.hpp"

#include <cstdint>
#include <span>

namespace chicorylink::gateway {

struct services;

/// @brief Accepts a request forwarded by another VM: checks all rules again, runs it in this region
/// and responds on the stream. The request is never forwarded again.
/// @return The handler of the stream's events.
[[nodiscard]] wire::stream_handler accept_forwarded(services& deps, base::vm_id from,
                                                    wire::stream_id stream,
                                                    std::span<const std::uint8_t> header);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_FORWARDED_STREAM_HPP
