#ifndef CHICORYLINK_ROUTING_REGION_SUMMARY_HPP
#define CHICORYLINK_ROUTING_REGION_SUMMARY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <vector>

namespace chicorylink::routing {

/// @brief What one VM tells other regions of a route's pool in its own region.
struct route_summary {
    base::route_id route;
    /// Slots of targets that take work, warm-up taken into account.
    std::uint32_t slots = 0;
    /// Slots believed to be free for work from other regions.
    std::uint32_t free_slots = 0;
    /// The time that a request which arrives now would wait.
    base::milliseconds queue_delay{0};
};

/// @brief The message by which a VM tells VMs of other regions about its region's capacity.
struct region_summary {
    base::region_id region;
    base::vm_id sender;
    /// Grows with each summary of a sender's process.
    std::uint64_t sequence = 0;
    base::incarnation process;
    std::vector<route_summary> routes;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_REGION_SUMMARY_HPP
