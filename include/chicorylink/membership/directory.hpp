#ifndef CHICORYLINK_MEMBERSHIP_DIRECTORY_HPP
#define CHICORYLINK_MEMBERSHIP_DIRECTORY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/view.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chicorylink::membership {

/// @brief The inputs for the list of VMs that a caller gets.
struct directory_request {
    base::team_id team;
    /// Distinguishes the callers of a team, such as a hash of the caller's address; spreads them
    /// over VMs of equal preference.
    std::uint64_t caller = 0;
    /// Regions where the team's requests may run; VMs of other regions are not listed.
    std::vector<base::region_id> allowed_regions;
    /// Regions by distance, nearest first; regions that are missing here sort last.
    std::vector<base::region_id> region_order;
    /// Preferred VMs: those of each region that hold the team's budget; see budget/placement.hpp.
    std::vector<base::vm_id> preferred_vms;
    std::size_t max_vms = 8;
};

/// @brief One VM that a caller may contact.
struct directory_entry {
    base::vm_id vm;
    std::string name;
    std::string caller_address;
    base::region_id region;
    bool home = false;
};

/// @brief The VMs for one caller, in the order in which it should try them.
struct directory_answer {
    std::vector<directory_entry> vms;
    /// After this the caller should refresh the list; differs between callers to spread their
    /// queries over time.
    base::milliseconds lifetime{0};
};

/// @brief Lists the VMs that a caller should use: live VMs in allowed regions, ordered by region
/// distance, then overloaded VMs last, then preferred VMs of the team first, then by rendezvous
/// hash of the caller.
///
/// When a VM leaves, only the callers that had it first move, and they spread over all remaining
/// VMs of its group.
[[nodiscard]] directory_answer list_vms(const view& from, const directory_request& request);

/// @brief Whether a VM's load is so far above the mean of its region that new callers should
/// prefer other VMs.
[[nodiscard]] bool is_overloaded(const member& candidate, const view& from);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_DIRECTORY_HPP
