#ifndef CHICORYLINK_ROUTING_REGION_STATE_HPP
#define CHICORYLINK_ROUTING_REGION_STATE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/other_region.hpp"
#include "chicorylink/routing/prefix_hints.hpp"
#include "chicorylink/routing/session_regions.hpp"
#include "chicorylink/routing/target_state.hpp"
#include "chicorylink/rules/team.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorylink::routing {

/// Entries in the prefix hint table of each route.
inline constexpr std::size_t hint_capacity = 1U << 14U;

/// @brief This VM's view of one route: its targets in this region and its other regions.
struct region_state {
    base::region_id region;
    base::route_id route;
    /// The targets of the route in this region, sorted by id.
    std::vector<target_state> targets;
    /// Other regions that hold targets of the route, sorted by id.
    std::vector<other_region> others;
    prefix_hints hints{hint_capacity};
    /// The regions to which sessions were forwarded.
    session_regions sessions;
    /// VMs of this region that send to the same targets, this one included.
    std::uint32_t vm_count = 1;
    /// The expected wait in this VM's queue for a request of the requesting team.
    base::milliseconds queue_delay{0};
    /// Whether the request must queue: other requests go first, or it may not start yet.
    bool must_wait = false;
    /// Load divided by usable slots, over the targets that accept work.
    double mean_use = 1.0;
    /// Smoothed prefill time of the pool, in microseconds per token.
    double prefill_pace = 100;
    /// Number of decisions; the round-robin policy uses it as its position.
    std::uint64_t decision_count = 0;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_REGION_STATE_HPP
