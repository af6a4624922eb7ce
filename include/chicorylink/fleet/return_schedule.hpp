#ifndef CHICORYLINK_FLEET_RETURN_SCHEDULE_HPP
#define CHICORYLINK_FLEET_RETURN_SCHEDULE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <unordered_map>

namespace chicorylink::fleet {

/// @brief Gives the refused callers of a service different times to return, at the rate that its
/// targets take: callers that all returned for the next free place would be refused again.
class return_schedule {
public:
    /// @brief Time until the next caller should return.
    /// @param per_second This VM's share of the rate that the service's targets take; not zero.
    /// @param time_left Until the caller's deadline. A caller whose turn comes later takes none.
    [[nodiscard]] base::milliseconds next(const service_name& service, double per_second,
                                          base::milliseconds time_left, base::time_point now);

private:
    /// When the last caller that can wait for its turn should return.
    std::unordered_map<service_name, base::time_point> m_last_return;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RETURN_SCHEDULE_HPP
