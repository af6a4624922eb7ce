#ifndef CHICORYLINK_GATEWAY_FINISH_HPP
#define CHICORYLINK_GATEWAY_FINISH_HPP

#include "chicorylink/gateway/active_request.hpp"
#include "chicorylink/gateway/refusal.hpp"

namespace chicorylink::gateway {

struct services;

/// @brief Sends a complete response, settles the request's budget and removes the request. Does
/// nothing when the request is done already.
void finish_response(services& deps, const active_request_ptr& entry, http_response response,
                     run_outcome outcome);

/// @brief Sends a refusal. Its outcome becomes `unknown` when an attempt may have run and the
/// refusal says `not_run`. A stream that has begun is aborted instead.
void finish_refused(services& deps, const active_request_ptr& entry, refusal rejection);

/// @brief Ends a stream cleanly.
void finish_stream(services& deps, const active_request_ptr& entry);

/// @brief Ends a request whose response can't be completed: a stream is aborted.
void abort_request(services& deps, const active_request_ptr& entry);

/// @brief Counts a refusal in the metrics.
void count_refusal(services& deps, refusal_kind kind);

/// @brief Cancels a request whose receiver disconnected; the connection to the target is closed,
/// which notifies the target.
void cancel(services& deps, const active_request_ptr& entry);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_FINISH_HPP
