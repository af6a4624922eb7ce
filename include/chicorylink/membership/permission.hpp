#ifndef CHICORYLINK_MEMBERSHIP_PERMISSION_HPP
#define CHICORYLINK_MEMBERSHIP_PERMISSION_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/timing.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace chicorylink::membership {

/// Up to this size of a region, a VM whose list is recent may act without others.
constexpr std::size_t small_region = 2;

/// @brief The proofs by which a process may act as a member of its region.
struct membership_proofs {
    /// Earliest time at which the newest list that shows this VM can have been made.
    std::optional<base::time_point> list_proof;
    /// Whether the newest list seen shows this VM.
    bool listed = false;
    /// VMs of the region, this one included; zero when unknown.
    std::size_t region_size = 0;
    /// For each other VM of the region that acknowledged: when the message it confirms was sent.
    std::vector<base::time_point> acks;
    base::time_point started{};
    /// When an earlier permission ended without a new proof.
    std::optional<base::time_point> lapsed_at;
};

/// @brief Since when more than half of the region, this VM included, has confirmed it.
/// @return Empty when fewer have.
[[nodiscard]] std::optional<base::time_point> majority_since(const membership_proofs& proofs);

/// @brief Until when the proofs allow this process to act.
///
/// A lapsed process needs acknowledgements that are newer than the lapse, or to be alone in its
/// region; the list alone does not bring it back, since others may have taken over meanwhile.
/// @return Empty when they allow nothing.
[[nodiscard]] std::optional<base::time_point> permitted_until(const membership_proofs& proofs,
                                                              const timing& terms);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_PERMISSION_HPP
