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

/// The number of prompts whose place is remembered for each route.
inline constexpr std::size_t hint_capacity = 1U << 14U;

/// @brief What is known here of one route: its targets in this region and its other regions.
struct region_state {
    base::region_id region;
    base::route_id route;
    /// The targets of the route in this region, sorted by id.
    std::vector<target_state> targets;
    /// Other regions that hold targets of the route, sorted by id.
    std::vector<other_region> others;
    prefix_hints hints{hint_capacity};
    /// Where sessions were sent that left this region.
    session_regions sessions;
    /// VMs of this region that send to the same targets, this one included.
    std::uint32_t sharers = 1;
    /// The time that a request of the asking team would wait in the queue here.
    base::milliseconds queue_delay{0};
    /// Whether others wait here that go before the request.
    bool must_wait = false;
    /// Load over usable slots of the targets that take work.
    double mean_use = 1.0;
    /// Smoothed prefill time of the pool, in microseconds a token.
    double prefill_pace = 100;
    /// Counts decisions; the round robin policy turns on it.
    std::uint64_t turn = 0;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_REGION_STATE_HPP
