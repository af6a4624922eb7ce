#ifndef CHICORYLINK_WIRE_BACKOFF_HPP
#define CHICORYLINK_WIRE_BACKOFF_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/wire/link_limits.hpp"

#include <cstdint>

namespace chicorylink::wire {

/// @brief When to reconnect after consecutive failures.
///
/// The delay doubles with each failure, from `backoff_min` to `backoff_max`. Jitter reduces it to
/// between half and all of that, so that peers don't reconnect at the same time.
/// @param failures Failed attempts since the last success; at least 1.
/// @param seed Seed of the jitter; the same seed and count give the same delay.
[[nodiscard]] base::time_point next_attempt(base::time_point now, std::uint32_t failures,
                                            std::uint64_t seed, const link_limits& limits);

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_BACKOFF_HPP
