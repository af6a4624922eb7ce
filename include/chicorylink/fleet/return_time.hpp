#ifndef CHICORYLINK_FLEET_RETURN_TIME_HPP
#define CHICORYLINK_FLEET_RETURN_TIME_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// The shortest time that a refused caller is told: what is free at once may be gone in a round
/// trip.
inline constexpr base::milliseconds shortest_return{150};

/// The longest one. Callers come back sooner than that whatever they are told.
inline constexpr base::milliseconds longest_return{60'000};

/// While a VM waits for a configuration, the store and the peers answer within about this time.
inline constexpr base::milliseconds not_ready_return{500};

/// @brief How callers that are refused together are spread behind the time that they are told.
enum class return_spread {
    /// Over as long again: a queue that was too long is worked off in the meantime.
    queue,
    /// Over half a second at most: nothing is worked off before the time that targets asked for.
    asked,
};

/// @brief When a refused caller is to come back: never sooner than the wait that is known.
/// @param seed Of the request; tells those apart that are refused together.
[[nodiscard]] base::milliseconds return_time(base::milliseconds wait, return_spread spread,
                                             std::uint64_t seed);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RETURN_TIME_HPP
