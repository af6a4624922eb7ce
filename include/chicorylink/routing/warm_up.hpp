#ifndef CHICORYLINK_ROUTING_WARM_UP_HPP
#define CHICORYLINK_ROUTING_WARM_UP_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::routing {

/// Time until a target that returns with a cold cache gets its full share.
inline constexpr base::milliseconds warm_up_duration{10'000};

/// The share of a target's slots in use at the start of its warm-up.
inline constexpr double warm_up_start = 0.3;

/// @brief The share of a target's slots that may be used now.
/// @param since When the warm-up started; none for a warm target.
/// @return Between `warm_up_start` and 1; rises linearly over `warm_up_duration`.
[[nodiscard]] double warm_up_share(std::optional<base::time_point> since, base::time_point now);

/// @brief The slots that may be used now; at least one.
[[nodiscard]] std::uint32_t usable_slots(std::uint32_t slots, std::optional<base::time_point> since,
                                         base::time_point now);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_WARM_UP_HPP
