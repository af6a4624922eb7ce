#ifndef CHICORYLINK_ROUTING_EJECTION_HPP
#define CHICORYLINK_ROUTING_EJECTION_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/outcome.hpp"

#include <cstdint>
#include <span>

namespace chicorylink::routing {

struct target_state;

/// @brief Circuit-breaker state of a target.
enum class health {
    /// Accepts work normally.
    closed,
    /// Ejected: accepts no work until the ejection ends.
    open,
    /// Accepts one probe request at a time to check for recovery.
    half_open,
};

/// @brief The health of one target, based on the outcomes of this VM's attempts.
struct ejection_state {
    health current = health::closed;
    std::uint32_t failures_in_a_row = 0;
    /// Consecutive ejections without a success; each one doubles the next duration.
    std::uint32_t times_ejected = 0;
    std::uint32_t probes_in_flight = 0;
    base::time_point open_until{};
};

/// Consecutive failures that eject a target.
inline constexpr std::uint32_t failures_to_eject = 3;

/// Duration of the first ejection and the maximum duration.
inline constexpr base::milliseconds first_ejection{2000};
inline constexpr base::milliseconds max_ejection{120'000};

/// A target slower than the pool's median by more than this factor is an outlier.
inline constexpr double slow_outlier_ratio = 3.0;

/// Minimum number of samples before a target can count as slow.
inline constexpr std::uint32_t min_samples = 4;

/// @brief Updates the health of one target of a pool after an attempt.
///
/// Ejects it after repeated failures or when it is far slower than the pool's median, unless half
/// of the pool is already ejected.
/// @param pool All targets of the pool.
/// @param index Index of the target that the attempt used.
void update_health(std::span<target_state> pool, std::size_t index, attempt_outcome outcome,
                   base::time_point now);

/// @brief Ejects a target whose time to first token is far above the pool's median.
void eject_if_slow(std::span<target_state> pool, std::size_t index, base::time_point now);

/// @brief Moves targets whose ejection has ended to half-open.
void end_ejections(std::span<target_state> pool, base::time_point now);

/// @brief Whether a target's health allows sending it a request.
[[nodiscard]] bool allows_work(const ejection_state& state);

/// @brief The number of targets that are ejected or half-open.
[[nodiscard]] std::size_t count_ejected(std::span<const target_state> pool);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_EJECTION_HPP
