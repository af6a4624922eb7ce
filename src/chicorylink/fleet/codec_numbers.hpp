#ifndef CHICORYLINK_FLEET_CODEC_NUMBERS_HPP
#define CHICORYLINK_FLEET_CODEC_NUMBERS_HPP

#include "chicorylink/base/units.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace chicorylink::fleet {

/// @brief Converts milliseconds for datagrams; clamps values that don't fit.
inline std::uint32_t to_wire_ms(base::milliseconds value)
{
    constexpr std::int64_t max_ms = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, max_ms));
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CODEC_NUMBERS_HPP
