#ifndef CHICORYLINK_ROUTING_OUTCOME_HPP
#define CHICORYLINK_ROUTING_OUTCOME_HPP

namespace chicorylink::routing {

/// @brief How an attempt at a target ended, for the target's health.
enum class attempt_outcome {
    succeeded,
    /// A connection error, a 5xx response or a truncated response.
    failed,
    /// No response in time.
    timed_out,
    /// The target reported that it is overloaded or leaving; not a failure.
    declined,
    /// The caller disconnected; not related to the target's health.
    cancelled,
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_OUTCOME_HPP
