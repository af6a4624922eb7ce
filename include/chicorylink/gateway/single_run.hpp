#ifndef CHICORYLINK_GATEWAY_SINGLE_RUN_HPP
#define CHICORYLINK_GATEWAY_SINGLE_RUN_HPP

#include "chicorylink/gateway/active_request.hpp"

namespace chicorylink::gateway {

struct services;

/// @brief Runs a request whose tokens are reserved. A call that isn't idempotent runs only at the
/// VM that its ticket names, or is attempted once when it has no ticket.
void run(services& deps, const active_request_ptr& entry);

/// @brief Responds to a request for a ticket with one issued by this VM, or by a VM in an allowed
/// region that has targets of the route.
void issue_ticket(services& deps, const active_request_ptr& entry);

/// @brief Issues a ticket at this VM for a request that another VM forwarded.
void issue_forwarded_ticket(services& deps, const active_request_ptr& entry);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SINGLE_RUN_HPP
