#ifndef CHICORYLINK_FLEET_SPEED_CHANGE_HPP
#define CHICORYLINK_FLEET_SPEED_CHANGE_HPP

#include "chicorylink/fleet/names.hpp"

namespace chicorylink::fleet {

/// @brief A target that has become noticeably slower than its service, or is no longer.
struct speed_change {
    target_name target;
    bool is_slow = false;
    /// Its times relative to those of its service.
    double factor = 1;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_SPEED_CHANGE_HPP
