#ifndef CHICORYLINK_FLEET_HEARTBEAT_CODEC_HPP
#define CHICORYLINK_FLEET_HEARTBEAT_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/fleet/heartbeat.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::fleet {

/// @brief A heartbeat as the bytes of one datagram.
[[nodiscard]] std::vector<std::uint8_t> encode(const heartbeat& message);

/// @brief Reads a datagram; `invalid_message` when it holds anything else than a heartbeat.
[[nodiscard]] base::result<heartbeat> decode_heartbeat(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_HEARTBEAT_CODEC_HPP
