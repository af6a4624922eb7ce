#ifndef CHICORYLINK_GATEWAY_SERVICES_HPP
#define CHICORYLINK_GATEWAY_SERVICES_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/gateway/active_request.hpp"
#include "chicorylink/gateway/settings.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace chicorylink::base {
class metrics;
} // namespace chicorylink::base

namespace chicorylink::membership {
struct view;
} // namespace chicorylink::membership

namespace chicorylink::platform {
class http_client;
} // namespace chicorylink::platform

namespace chicorylink::routing {
class router;
} // namespace chicorylink::routing

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::wire {
class peer_network;
} // namespace chicorylink::wire

namespace chicorylink::gateway {

class budget_gate;
class ticket_manager;
class retry_scheduler;
class team_stats;
class request_table;

/// @brief Dependencies of the request path, one object per daemon. The daemon owns the objects
/// pointed to and sets all fields before the first request.
struct services {
    settings config;
    base::vm_id self;
    base::region_id region;
    /// Changes when the process continues under a new incarnation.
    std::atomic<base::incarnation> process{};
    /// Salt of prefix hashes; derived from the settings, so that it is the same on all VMs.
    std::uint64_t prefix_salt = 0;

    base::metrics* metrics = nullptr;
    platform::http_client* http = nullptr;
    wire::peer_network* network = nullptr;
    routing::router* router = nullptr;
    budget_gate* budget = nullptr;
    ticket_manager* tickets = nullptr;
    retry_scheduler* retries = nullptr;
    request_table* requests = nullptr;
    team_stats* teams = nullptr;

    /// The current time; the only clock of the request path.
    std::function<base::time_point()> now;
    /// The rules in force; null until the first version.
    std::function<std::shared_ptr<const rules::rulebook>()> rulebook;
    /// Whether requests may be served by these rules. A process that just started or resumed
    /// first confirms that it has the newest version.
    std::function<bool()> rules_are_current;
    std::function<std::shared_ptr<const membership::view>()> view;

    std::atomic<bool> leaving{false};
    std::atomic<std::uint64_t> last_correlation{0};
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SERVICES_HPP
