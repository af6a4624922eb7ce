#ifndef CHICORYLINK_MEMBERSHIP_VIEW_HPP
#define CHICORYLINK_MEMBERSHIP_VIEW_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/member.hpp"

#include <vector>

namespace chicorylink::membership {

/// @brief A snapshot of the VMs known here, for the modules that decide by it.
struct view {
    /// Sorted by id; holds this VM too.
    std::vector<member> members;
    base::vm_id self;
    /// Until when this process may act as a member. A permission is compared with `now` at its
    /// use and is never stored as a flag.
    base::time_point member_until{};
    /// Whether the platform's list is known to be recent.
    bool list_is_fresh = false;
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_VIEW_HPP
