#ifndef CHICORYLINK_FLEET_PLACEMENT_CODEC_HPP
#define CHICORYLINK_FLEET_PLACEMENT_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/fleet/placement_message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::fleet {

/// @brief Encodes a message as a FlatBuffers datagram; see `schema/fleet_placement.fbs`.
[[nodiscard]] std::vector<std::uint8_t> encode(const placement_message& message);

/// @brief Decodes a datagram; fails with `invalid_message` if it is not a placement message.
[[nodiscard]] base::result<placement_message> decode_placement(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PLACEMENT_CODEC_HPP
