#ifndef CHICORYLINK_FLEET_RETRY_AFTER_DELAY_HPP
#define CHICORYLINK_FLEET_RETRY_AFTER_DELAY_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// Shortest delay that a refused caller is told: what is free at once may be gone after a round
/// trip.
inline constexpr base::milliseconds min_retry_after{150};

/// Longest delay that a refused caller is told. Callers retry sooner than that whatever they are
/// told.
inline constexpr base::milliseconds max_retry_after{60'000};

/// Delay while a VM waits for a configuration: the store and the peers answer within about this
/// time.
inline constexpr base::milliseconds not_ready_retry_after{500};

/// @brief How the retries of callers that are refused together are spread after the known wait.
enum class retry_jitter {
    /// Over as long again: a queue that was too long drains in the meantime.
    queue,
    /// Over half a second at most: nothing drains before the time that targets asked for.
    requested_wait,
};

/// @brief Delay after which a refused caller should retry.
/// @param wait Known wait; the delay is never shorter, up to `max_retry_after`.
/// @param seed Derived from the request; differs between callers that are refused together.
[[nodiscard]] base::milliseconds retry_after_delay(base::milliseconds wait, retry_jitter spread,
                                                   std::uint64_t seed);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RETRY_AFTER_DELAY_HPP
