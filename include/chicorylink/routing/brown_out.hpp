#ifndef CHICORYLINK_ROUTING_BROWN_OUT_HPP
#define CHICORYLINK_ROUTING_BROWN_OUT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/policy.hpp"
#include "chicorylink/rules/route.hpp"

#include <cstdint>

namespace chicorylink::routing {

struct request;

/// @brief How much work is shed. Each level sheds what the one before it does, and more.
enum class brown_out_level : std::uint8_t {
    none = 0,
    /// Low priority with long answers.
    low_long,
    /// All of low priority.
    low,
    /// Long answers of normal priority too.
    normal_long,
};

/// An answer longer than this counts as long.
inline constexpr base::tokens long_answer{512};

/// The part of a request's time to its deadline that its queue may take before shedding begins.
inline constexpr double shedding_starts_at = 0.5;

/// @brief The level by the time that work waits in the queue.
/// @param queue_delay The time that a request which arrives now would wait.
/// @param time_left The time to the request's deadline.
/// @param weights A larger weight of refusals makes shedding begin later.
[[nodiscard]] brown_out_level level_of(base::milliseconds queue_delay, base::milliseconds time_left,
                                       const rules::policy& weights);

/// @brief Whether a request is shed at a level. Requests of high priority never are.
[[nodiscard]] bool sheds(brown_out_level level, const request& asked);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_BROWN_OUT_HPP
