#ifndef CHICORYLINK_FLEET_HEARTBEAT_CODEC_HPP
#define CHICORYLINK_FLEET_HEARTBEAT_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/fleet/heartbeat.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::fleet {

/// @brief Encodes a heartbeat as one datagram.
[[nodiscard]] std::vector<std::uint8_t> encode(const heartbeat& message);

/// @brief Decodes a datagram; fails with `invalid_message` if it is not a heartbeat.
[[nodiscard]] base::result<heartbeat> decode_heartbeat(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_HEARTBEAT_CODEC_HPP
