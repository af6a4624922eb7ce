#ifndef CHICORYLINK_GATEWAY_STEPS_HPP
#define CHICORYLINK_GATEWAY_STEPS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/gateway/active_request.hpp"
#include "chicorylink/routing/decision.hpp"

#include <vector>

namespace chicorylink::gateway {

struct services;

/// Steps of request handling between admission and response. Each may be called from any thread,
/// with no lock held.

/// @brief Passes the request to the router and applies its decision.
void submit(services& deps, const active_request_ptr& entry);

/// @brief Applies decisions of the router.
void apply_decisions(services& deps, const std::vector<routing::decision>& decisions);

/// @brief Sends the request to a target of this region.
void start_target_attempt(services& deps, const active_request_ptr& entry, base::target_id target);

/// @brief Sends the request to a VM of another region.
void start_forward(services& deps, const active_request_ptr& entry, base::region_id region);

/// @brief Sends the request to one VM, such as the executor of its ticket.
void start_forward_to(services& deps, const active_request_ptr& entry, base::vm_id vm);

/// @brief Retries a request after a failed attempt, where that is allowed and safe.
/// @param fallback The response when it isn't.
void retry_or_refuse(services& deps, const active_request_ptr& entry, refusal fallback);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_STEPS_HPP
