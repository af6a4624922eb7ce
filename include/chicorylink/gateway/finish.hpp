#ifndef CHICORYLINK_GATEWAY_FINISH_HPP
#define CHICORYLINK_GATEWAY_FINISH_HPP

#include "chicorylink/gateway/refusal.hpp"
#include "chicorylink/gateway/work.hpp"

namespace chicorylink::gateway {

struct services;

/// @brief Answers a request with a whole answer, settles its budget and forgets it. Does nothing
/// when it was answered already.
void finish_whole(services& all, const work_ptr& entry, http_answer answer, run_outcome outcome);

/// @brief Answers a request with a refusal. Its outcome becomes `unknown` when an attempt may have
/// run and the refusal says `not_run`. A stream that has begun is broken off instead.
void finish_refused(services& all, const work_ptr& entry, refusal why);

/// @brief Ends a stream cleanly.
void finish_stream(services& all, const work_ptr& entry);

/// @brief Ends a request whose answer can't be completed: a stream is broken off.
void break_off(services& all, const work_ptr& entry);

/// @brief Counts a refusal in the metrics.
void count_refusal(services& all, refusal_kind kind);

/// @brief Stops a request whose receiver went away: the target is told by closing the connection.
void cancel(services& all, const work_ptr& entry);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_FINISH_HPP
