#ifndef CHICORYLINK_FLEET_PLACEMENT_CODEC_HPP
#define CHICORYLINK_FLEET_PLACEMENT_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/fleet/placement_message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::fleet {

/// @brief A message as a FlatBuffers datagram; see `schema/fleet_placement.fbs`.
[[nodiscard]] std::vector<std::uint8_t> encode(const placement_message& message);

/// @brief Reads a datagram; `invalid_message` when it holds anything else than such a message.
[[nodiscard]] base::result<placement_message> decode_placement(std::span<const std::uint8_t> bytes);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PLACEMENT_CODEC_HPP
