#ifndef CHICORYLINK_GATEWAY_SUMMARY_RECEIVERS_HPP
#define CHICORYLINK_GATEWAY_SUMMARY_RECEIVERS_HPP

#include "chicorylink/base/ids.hpp"

#include <vector>

namespace chicorylink::membership {
struct view;
} // namespace chicorylink::membership

namespace chicorylink::gateway {

/// @brief The VMs of other regions to which this VM sends its region's capacity summary.
///
/// Each VM of another region gets summaries from one VM of this region, chosen by rendezvous
/// hashing among the live ones; from two if the region has few VMs, so that the loss of one leaves
/// no gap. If regions are of similar size, a VM's messages grow with the number of regions, not
/// of VMs.
[[nodiscard]] std::vector<base::vm_id> summary_receivers(const membership::view& snapshot,
                                                         base::region_id region);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SUMMARY_RECEIVERS_HPP
