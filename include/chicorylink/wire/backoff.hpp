#ifndef CHICORYLINK_WIRE_BACKOFF_HPP
#define CHICORYLINK_WIRE_BACKOFF_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/wire/link_limits.hpp"

#include <cstdint>

namespace chicorylink::wire {

/// @brief When to try a connection again after failures in a row.
///
/// The delay doubles with each failure between the limits' bounds; of it, a part between half and
/// all is taken, so that peers don't come back in step.
/// @param failures Failed tries since the last success; at least 1.
/// @param seed Chooses the part; the same seed and count give the same delay.
[[nodiscard]] base::time_point next_attempt(base::time_point now, std::uint32_t failures,
                                            std::uint64_t seed, const link_limits& limits);

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_BACKOFF_HPP
