#ifndef CHICORYLINK_GATEWAY_SINGLE_RUN_HPP
#define CHICORYLINK_GATEWAY_SINGLE_RUN_HPP

#include "chicorylink/gateway/exchange.hpp"
#include "chicorylink/gateway/identity.hpp"
#include "chicorylink/gateway/work.hpp"

#include <memory>

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

struct services;

/// @brief Runs a request whose tokens are reserved. A call that may not be repeated runs only at
/// the VM that its ticket names, or is attempted once when it has none.
void run(services& all, const work_ptr& entry);

/// @brief Answers `POST /v1/tickets?route=NAME`.
void issue_ticket(services& all, const std::shared_ptr<exchange>& request,
                  const rules::rulebook& book, const identity& who);

/// @brief Issues a ticket at this VM for a request that another VM forwarded.
void issue_forwarded_ticket(services& all, const work_ptr& entry);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SINGLE_RUN_HPP
