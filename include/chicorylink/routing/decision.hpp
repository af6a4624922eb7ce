#ifndef CHICORYLINK_ROUTING_DECISION_HPP
#define CHICORYLINK_ROUTING_DECISION_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/request.hpp"

#include <string_view>

namespace chicorylink::routing {

/// @brief What the gateway does with a request.
enum class decision_kind {
    /// Send it to `target` now.
    dispatched,
    /// Keep it; a later call returns its decision.
    queued,
    /// Send it to a VM of `region`, with hop 1.
    forward,
    /// Answer at once that it did not run, with `retry_after`.
    refused,
};

/// @brief Why a request was refused.
enum class refusal_reason {
    none,
    /// The route is unknown here, or no target of it takes work in an allowed region.
    no_target,
    /// The team may not run in this region and the request can't be forwarded.
    region_not_allowed,
    /// It would wait past its deadline.
    deadline,
    /// The queue of this VM is full.
    queue_full,
    /// The team's part of the queue is full.
    team_queue_full,
    /// Capacity is short and requests of this kind are shed first.
    brown_out,
};

/// @brief The stable name of a reason, for answers and metrics.
[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// @brief What is decided about one request.
struct decision {
    request_id id;
    decision_kind kind = decision_kind::refused;
    base::target_id target;
    base::region_id region;
    refusal_reason reason = refusal_reason::none;
    /// When to come back, for a refusal.
    base::milliseconds retry_after{0};
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_DECISION_HPP
