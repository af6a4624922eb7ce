#ifndef CHICORYLINK_MEMBERSHIP_VIEW_HPP
#define CHICORYLINK_MEMBERSHIP_VIEW_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/member.hpp"
#include "chicorylink/membership/region_summary.hpp"

#include <vector>

namespace chicorylink::membership {

/// @brief A snapshot of the known VMs, for the modules that make decisions with it.
struct view {
    /// Sorted by id; includes this VM.
    std::vector<member> members;
    base::vm_id self;
    /// Until when this process may act as a member. Compare it with `now` at each use; never store
    /// the result as a flag. Zero until the first proof.
    base::time_point member_until{};
    /// Whether the platform's list is known to be recent.
    bool list_is_fresh = false;
    /// When this process last resumed after a pause; zero when it never was paused.
    base::time_point resumed_at{};
    /// Other regions, sorted by id, whose delegates were heard from.
    std::vector<region_summary> regions;
};

/// @brief Returns the member with this id; null when it is unknown.
[[nodiscard]] const member* find(const view& from, base::vm_id id);

/// @brief Whether a member takes new work.
[[nodiscard]] bool takes_work(const member& candidate);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_VIEW_HPP
