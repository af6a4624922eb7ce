#ifndef CHICORYLINK_MEMBERSHIP_PERMISSION_HPP
#define CHICORYLINK_MEMBERSHIP_PERMISSION_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/timing.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace chicorylink::membership {

/// Maximum number of VMs in a region where a VM with a recent list may act without others.
constexpr std::size_t small_region = 2;

/// @brief The proofs that permit a process to act as a member of its region.
struct membership_proofs {
    /// Earliest possible creation time of the newest list that shows this VM.
    std::optional<base::time_point> list_proof;
    /// Whether the newest list seen shows this VM.
    bool listed = false;
    /// Number of VMs in the region, including this one; zero when unknown.
    std::size_t region_size = 0;
    /// For each other VM of the region that acknowledged: when the acknowledged message was sent.
    std::vector<base::time_point> acks;
    base::time_point started{};
    /// When an earlier permission expired without a new proof.
    std::optional<base::time_point> lapsed_at;
};

/// @brief Returns the latest time such that more than half of the region, including this VM, has
/// acknowledged a message sent at or after it.
/// @return Empty when fewer have.
[[nodiscard]] std::optional<base::time_point> majority_since(const membership_proofs& proofs);

/// @brief Returns until when the proofs permit this process to act.
///
/// After a lapse, a process needs acknowledgements newer than the lapse, or must be alone in its
/// region. The list alone does not restore the permission, since others may have taken over.
/// @return Empty when the proofs permit nothing.
[[nodiscard]] std::optional<base::time_point> permitted_until(const membership_proofs& proofs,
                                                              const timing& terms);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_PERMISSION_HPP
