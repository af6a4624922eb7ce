#ifndef CHICORYLINK_FLEET_CODEC_NUMBERS_HPP
#define CHICORYLINK_FLEET_CODEC_NUMBERS_HPP

#include "chicorylink/base/units.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace chicorylink::fleet {

/// @brief Milliseconds as datagrams carry them; what does not fit becomes the nearest that does.
inline std::uint32_t count_of(base::milliseconds value)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, most));
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CODEC_NUMBERS_HPP
