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
    /// Keep it queued; a later call returns its decision.
    queued,
    /// Send it to a VM of `region`, with hop 1.
    forward,
    /// Respond at once that it did not run, with `retry_after`.
    refused,
};

/// @brief Why a request was refused.
enum class refusal_reason {
    none,
    /// The route is unknown, or none of its targets in an allowed region accepts work.
    no_target,
    /// The team may not run in this region and the request can't be forwarded.
    region_not_allowed,
    /// It would miss its deadline while waiting.
    deadline,
    /// The queue of this VM is full.
    queue_full,
    /// The team's share of the queue is full.
    team_queue_full,
    /// Capacity is short, and requests of this priority and length are shed first.
    brown_out,
};

/// @brief The stable name of a reason, for responses and metrics.
[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// @brief The decision about one request.
struct decision {
    request_id id;
    decision_kind kind = decision_kind::refused;
    base::target_id target;
    base::region_id region;
    refusal_reason reason = refusal_reason::none;
    /// For a refusal: how long the caller should wait before a retry.
    base::milliseconds retry_after{0};
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_DECISION_HPP
