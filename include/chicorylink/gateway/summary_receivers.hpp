#ifndef CHICORYLINK_GATEWAY_SUMMARY_RECEIVERS_HPP
#define CHICORYLINK_GATEWAY_SUMMARY_RECEIVERS_HPP

#include "chicorylink/base/ids.hpp"

#include <vector>

namespace chicorylink::membership {
struct view;
} // namespace chicorylink::membership

namespace chicorylink::gateway {

/// @brief The VMs of other regions to which this VM tells its region's capacity.
///
/// Each VM elsewhere hears one VM of this region, chosen by rendezvous hash among the live ones;
/// two when the region has few, so that the loss of one leaves no gap. The messages of a VM grow
/// with the number of regions and not with the number of VMs, as long as regions are of like size.
[[nodiscard]] std::vector<base::vm_id> summary_receivers(const membership::view& seen,
                                                         base::region_id region);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SUMMARY_RECEIVERS_HPP
