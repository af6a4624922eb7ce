#ifndef CHICORYLINK_FLEET_RATE_LIMIT_HPP
#define CHICORYLINK_FLEET_RATE_LIMIT_HPP

#include "chicorylink/base/units.hpp"

#include <optional>

namespace chicorylink::fleet {

/// @brief The rate that one run of a target takes from all VMs together, as it stated it last.
struct rate_limit {
    /// Requests per second; none while it states no limit.
    std::optional<double> per_second;
    /// When it stated this, to this VM or to another one.
    base::time_point stated_at{};
};

/// @brief Records what a target stated. A statement that is older than the known one is ignored.
/// @param per_second The stated limit; none when a response came without one.
/// @param at For a limit when the response arrived, for its absence when the request was sent: a
/// response may have been made at any time in between, and a limit outweighs its absence.
/// @return Whether the limit changed.
bool note_stated(rate_limit& limit, std::optional<double> per_second, base::time_point at);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RATE_LIMIT_HPP
