#ifndef CHICORYLINK_FLEET_RETRY_SHARERS_HPP
#define CHICORYLINK_FLEET_RETRY_SHARERS_HPP

#include <cstddef>

namespace chicorylink::fleet {

/// @brief The VMs among which the fleet's slack for retries is shared, as far as a process knows.
struct retry_sharers {
    /// VMs that may retry, this one included.
    std::size_t vms = 1;
    /// Whether a VM of each region is among them. If not, the process has started behind a
    /// partition or is just starting, and does not know how many VMs there are.
    bool all_regions = true;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RETRY_SHARERS_HPP
