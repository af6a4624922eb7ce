#ifndef CHICORYLINK_MEMBERSHIP_VIEW_HPP
#define CHICORYLINK_MEMBERSHIP_VIEW_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/member.hpp"
#include "chicorylink/membership/region_summary.hpp"

#include <vector>

namespace chicorylink::membership {

/// @brief A snapshot of the VMs known here, for the modules that decide by it.
struct view {
    /// Sorted by id; holds this VM too.
    std::vector<member> members;
    base::vm_id self;
    /// Until when this process may act as a member. A permission is compared with `now` at its
    /// use and is never stored as a flag. Zero until the first proof.
    base::time_point member_until{};
    /// Whether the platform's list is known to be recent.
    bool list_is_fresh = false;
    /// When this process last woke from a pause; zero when it never did.
    base::time_point woke_at{};
    /// Other regions, sorted by id, as far as their delegates were heard.
    std::vector<region_summary> regions;
};

/// @brief The member with this id; null when it is unknown.
[[nodiscard]] const member* find(const view& from, base::vm_id id);

/// @brief Whether a member takes new work.
[[nodiscard]] bool takes_work(const member& which);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_VIEW_HPP
