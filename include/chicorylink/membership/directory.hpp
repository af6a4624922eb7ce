#ifndef CHICORYLINK_MEMBERSHIP_DIRECTORY_HPP
#define CHICORYLINK_MEMBERSHIP_DIRECTORY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/view.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chicorylink::membership {

/// @brief What a caller's list of VMs depends on.
struct directory_request {
    base::team_id team;
    /// Distinguishes the callers of a team, such as a hash of the caller's address; spreads them
    /// over the VMs that are equal for the team.
    std::uint64_t caller = 0;
    /// Where the team's requests may run; VMs elsewhere are not named.
    std::vector<base::region_id> allowed_regions;
    /// Near regions first; a region that is missing comes last.
    std::vector<base::region_id> region_order;
    /// VMs of each region that hold the team's budget; see budget/placement.hpp.
    std::vector<base::vm_id> homes;
    std::size_t most = 8;
};

/// @brief One VM that a caller may ask.
struct directory_entry {
    base::vm_id vm;
    std::string name;
    std::string caller_address;
    base::region_id region;
    bool home = false;
};

/// @brief The list for one caller, in the order in which it should try.
struct directory_answer {
    std::vector<directory_entry> vms;
    /// After this the caller should ask again; differs between callers, so that they don't ask at
    /// once.
    base::milliseconds lifetime{0};
};

/// @brief The VMs that a caller should use: live ones in allowed regions, near regions first,
/// homes of the team before others, then by rendezvous hash of the caller; an overloaded VM goes
/// behind the others of its group.
///
/// When a VM goes, only the callers that had it first move, and they spread over all VMs that
/// are left in the group.
[[nodiscard]] directory_answer list_vms(const view& from, const directory_request& request);

/// @brief Whether a VM has so much more work than the mean of its region that new callers should
/// prefer others.
[[nodiscard]] bool is_overloaded(const member& which, const view& from);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_DIRECTORY_HPP
