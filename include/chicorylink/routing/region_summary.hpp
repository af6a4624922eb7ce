#ifndef CHICORYLINK_ROUTING_REGION_SUMMARY_HPP
#define CHICORYLINK_ROUTING_REGION_SUMMARY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <vector>

namespace chicorylink::routing {

/// @brief One VM's report to other regions about a route's pool in its own region.
struct route_summary {
    base::route_id route;
    /// Usable slots of targets that accept work, reduced during warm-up.
    std::uint32_t slots = 0;
    /// Estimated free slots for work from other regions.
    std::uint32_t free_slots = 0;
    /// The expected wait of a request that arrives now.
    base::milliseconds queue_delay{0};
};

/// @brief The message that reports a region's capacity to VMs of other regions.
struct region_summary {
    base::region_id region;
    base::vm_id sender;
    /// Increases with each summary that the sender's process creates.
    std::uint64_t sequence = 0;
    base::incarnation process;
    std::vector<route_summary> routes;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_REGION_SUMMARY_HPP
