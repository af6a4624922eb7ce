#ifndef CHICORYLINK_DISPATCH_EXECUTOR_CHOICE_HPP
#define CHICORYLINK_DISPATCH_EXECUTOR_CHOICE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/dispatch/ticket.hpp"
#include "chicorylink/membership/view.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace chicorylink::dispatch {

/// @brief Where a request with a ticket must be handled.
enum class executor_location {
    /// This process issued it.
    here,
    /// Another VM issued it and is not known to be gone. That VM checks whether the same process
    /// still runs, because the incarnations known here may be out of date.
    forward,
    /// The process that issued it is gone.
    executor_gone,
    /// The executor is not in the membership view.
    executor_unknown,
    /// The team may no longer use the executor's region.
    region_not_allowed,
};

/// @brief Whether this VM prefers to issue tickets itself.
enum class executor_preference {
    self_first,
    /// Another VM of this region first, so that either VM can report the outcome when the other
    /// one crashes. Costs one hop within the region.
    another_vm_first,
};

/// @brief The VMs that may issue tickets for a team and route, best first.
///
/// They are live and in a region that the team allows and that has a target of the route, so that
/// the path from the executor to the target stays in the region. Sorted by link delay, then by
/// preference, then by rendezvous hash of the team.
[[nodiscard]] std::vector<membership::member>
executors_for(const rules::rulebook& book, const rules::team& team_rules, base::route_id route,
              const membership::view& current_view,
              executor_preference preference = executor_preference::self_first);

/// @brief Determines where to handle a request whose ticket has a valid MAC.
/// @param self_process The incarnation of this process.
[[nodiscard]] executor_location locate_executor(const ticket& value, const rules::team& team_rules,
                                                const membership::view& current_view,
                                                base::incarnation self_process);

/// @brief The stable name of a location, for JSON bodies and metrics.
[[nodiscard]] std::string_view to_string(executor_location location);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_EXECUTOR_CHOICE_HPP
