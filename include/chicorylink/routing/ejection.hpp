#ifndef CHICORYLINK_ROUTING_EJECTION_HPP
#define CHICORYLINK_ROUTING_EJECTION_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/outcome.hpp"

#include <cstdint>
#include <span>

namespace chicorylink::routing {

struct target_state;

/// @brief Whether a target is given work.
enum class health {
    /// Takes work as usual.
    closed,
    /// Ejected: takes no work until its time is over.
    open,
    /// Takes one request at a time, to find out whether it works again.
    half_open,
};

/// @brief The health of one target as judged by the outcomes seen here.
struct ejection_state {
    health now = health::closed;
    std::uint32_t failures_in_a_row = 0;
    /// Ejections without a success between them; each one doubles the time of the next.
    std::uint32_t times_ejected = 0;
    std::uint32_t probes_in_flight = 0;
    base::time_point open_until{};
};

/// Failures in a row that eject a target.
inline constexpr std::uint32_t failures_to_eject = 3;

/// Time of the first ejection and of the longest one.
inline constexpr base::milliseconds first_ejection{2000};
inline constexpr base::milliseconds longest_ejection{120'000};

/// How many times slower than the pool's median a target is when it counts as an outlier.
inline constexpr double slow_outlier_ratio = 3.0;

/// Answers that are seen before a target's speed is judged.
inline constexpr std::uint32_t samples_to_judge = 4;

/// @brief Updates the health of one target of a pool by the outcome of an attempt.
///
/// Ejects it after repeated failures or when it is far slower than the pool's median, unless half
/// of the pool is ejected already.
/// @param pool All targets of the pool.
/// @param index The target that the outcome is of.
void judge_outcome(std::span<target_state> pool, std::size_t index, attempt_outcome outcome,
                   base::time_point now);

/// @brief Ejects a target that is far slower than the pool's median, after its first tokens.
void judge_speed(std::span<target_state> pool, std::size_t index, base::time_point now);

/// @brief Moves targets whose ejection is over to half-open.
void end_ejections(std::span<target_state> pool, base::time_point now);

/// @brief Whether a target may be given a request by its health alone.
[[nodiscard]] bool admits(const ejection_state& state);

/// @brief The number of targets that are ejected or half-open.
[[nodiscard]] std::size_t count_ejected(std::span<const target_state> pool);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_EJECTION_HPP
