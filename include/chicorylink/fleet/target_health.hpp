#ifndef CHICORYLINK_FLEET_TARGET_HEALTH_HPP
#define CHICORYLINK_FLEET_TARGET_HEALTH_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief How an attempt at a target ended, for the judgement of the target.
enum class target_outcome {
    /// A whole answer that is not the target's own failure.
    answered,
    /// An answer that tells of the target's own failure.
    server_error,
    /// The target refused the request without running it.
    shed,
    /// The answer was cut, spoiled or never came.
    broken,
    /// No connection could be made.
    unreachable,
};

/// @brief The health of one target by the outcomes seen here. What it says of itself counts less.
struct target_health {
    std::uint32_t broken_in_a_row = 0;
    /// Ejections without an answer between them; each doubles the time of the next.
    std::uint32_t times_ejected = 0;
    base::time_point ejected_until{};
    /// Whether it could not be reached or was silent: it may have started again since, cold.
    bool may_have_restarted = false;
    /// When it was last ejected.
    base::time_point ejected_at{};
    /// Smoothed part of attempts that did not give a good answer.
    double failure_rate = 0;
};

/// Broken answers in a row that eject a target. One alone may be a single spoiled answer.
inline constexpr std::uint32_t broken_to_eject = 3;

/// Time of the first ejection and of the longest one. A target that was replaced or restarted is
/// back within a few seconds.
inline constexpr base::milliseconds first_ejection{1000};
inline constexpr base::milliseconds longest_ejection{8000};

/// @brief Updates the health by one outcome.
/// @return Whether the target was ejected by it.
bool on_outcome(target_health& health, target_outcome outcome, base::time_point now);

/// @brief Ejects a target that has been silent while requests wait there.
void eject(target_health& health, base::time_point now);

/// @brief A target that was ejected gave a sign of life, here or at another VM.
void readmit(target_health& health);

[[nodiscard]] bool is_ejected(const target_health& health, base::time_point now);

/// @brief Whether a target that was ejected is being tried again and should get one request only.
[[nodiscard]] bool is_on_probation(const target_health& health);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_HEALTH_HPP
