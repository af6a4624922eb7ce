#ifndef CHICORYLINK_FLEET_TARGET_HEALTH_HPP
#define CHICORYLINK_FLEET_TARGET_HEALTH_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief How an attempt ended, as far as it tells about the target's health.
enum class target_outcome {
    /// A complete response other than a server error.
    answered,
    /// A response with an error of the target itself.
    server_error,
    /// The target refused the request without running it.
    shed,
    /// The response was truncated, malformed or missing.
    broken,
    /// No connection could be established.
    unreachable,
};

/// @brief The health of one target by the outcomes that this VM saw, which count more than the
/// target's own reports.
struct target_health {
    std::uint32_t broken_in_a_row = 0;
    /// Successive ejections without a response in between; each doubles the time of the next one.
    std::uint32_t times_ejected = 0;
    base::time_point ejected_until{};
    /// Whether the target was unreachable or unresponsive: it may have restarted and be cold.
    bool may_have_restarted = false;
    /// Time of the last ejection.
    base::time_point ejected_at{};
    /// Smoothed fraction of attempts without a good response.
    double failure_rate = 0;
};

/// Consecutive broken responses that eject a target. A single one may be one malformed response.
inline constexpr std::uint32_t ejection_threshold = 3;

/// Duration of the first and of the longest ejection. A replaced or restarted target is back within
/// a few seconds.
inline constexpr base::milliseconds first_ejection_time{1000};
inline constexpr base::milliseconds max_ejection_time{8000};

/// @brief Updates the health with the outcome of an attempt.
/// @return Whether this outcome ejected the target.
bool on_outcome(target_health& health, target_outcome outcome, base::time_point now);

/// @brief Ejects a target, such as one that does not respond to waiting requests.
void eject(target_health& health, base::time_point now);

/// @brief Ends an ejection, because the target answered this VM or another one.
void readmit(target_health& health);

[[nodiscard]] bool is_ejected(const target_health& health, base::time_point now);

/// @brief Whether a target was ejected and has not answered since; it should get one request at a
/// time.
[[nodiscard]] bool is_on_probation(const target_health& health);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_HEALTH_HPP
