#ifndef CHICORYLINK_ROUTING_CODEC_HPP
#define CHICORYLINK_ROUTING_CODEC_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/routing/region_summary.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::routing {

/// @brief Serializes a summary for other VMs.
[[nodiscard]] std::vector<std::uint8_t> encode(const region_summary& message);

/// @brief Parses a summary.
/// @return An `invalid_message` error if the bytes fail verification.
[[nodiscard]] base::result<region_summary> decode(std::span<const std::uint8_t> frame);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_CODEC_HPP
