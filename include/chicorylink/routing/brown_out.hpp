#ifndef CHICORYLINK_ROUTING_BROWN_OUT_HPP
#define CHICORYLINK_ROUTING_BROWN_OUT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/policy.hpp"
#include "chicorylink/rules/route.hpp"

#include <cstdint>

namespace chicorylink::routing {

struct request;

/// @brief How much work is shed. Each level includes everything that the previous one sheds.
enum class brown_out_level : std::uint8_t {
    none = 0,
    /// Low priority with long responses.
    low_long,
    /// All low-priority requests.
    low,
    /// Normal priority with long responses as well.
    normal_long,
};

/// A response longer than this counts as long.
inline constexpr base::tokens long_response{512};

/// Shedding starts when the queue delay exceeds this fraction of the time to the deadline.
inline constexpr double shedding_starts_at = 0.5;

/// @brief The shedding level for a given queue delay.
/// @param queue_delay The expected wait of a request that arrives now.
/// @param time_left The time to the request's deadline.
/// @param weights A higher `refusal_weight` makes shedding start later.
[[nodiscard]] brown_out_level level_of(base::milliseconds queue_delay, base::milliseconds time_left,
                                       const rules::policy& weights);

/// @brief Whether a request is shed at a level. High-priority requests never are.
[[nodiscard]] bool sheds(brown_out_level level, const request& req);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_BROWN_OUT_HPP
