#ifndef CHICORYLINK_ROUTING_OUTCOME_HPP
#define CHICORYLINK_ROUTING_OUTCOME_HPP

namespace chicorylink::routing {

/// @brief How an attempt at a target ended, as far as it tells about the target's health.
enum class attempt_outcome {
    succeeded,
    /// A connection error, a 5xx answer or a truncated one.
    failed,
    /// No answer in time.
    timed_out,
    /// The target said that it is overloaded or leaving; not a fault.
    declined,
    /// The caller went away; tells nothing about the target.
    cancelled,
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_OUTCOME_HPP
