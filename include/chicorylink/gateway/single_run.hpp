#ifndef CHICORYLINK_GATEWAY_SINGLE_RUN_HPP
#define CHICORYLINK_GATEWAY_SINGLE_RUN_HPP

#include "chicorylink/gateway/work.hpp"

namespace chicorylink::gateway {

struct services;

/// @brief Runs a request whose tokens are reserved. A call that may not be repeated runs only at
/// the VM that its ticket names, or is attempted once when it has none.
void run(services& all, const work_ptr& entry);

/// @brief Answers a call for a ticket: by one of this VM, or by one of a VM whose region is allowed
/// and holds the route's targets.
void issue_ticket(services& all, const work_ptr& entry);

/// @brief Issues a ticket at this VM for a request that another VM forwarded.
void issue_forwarded_ticket(services& all, const work_ptr& entry);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SINGLE_RUN_HPP
