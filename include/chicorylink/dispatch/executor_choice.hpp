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

/// @brief Where a request with a ticket is to be handled.
enum class ticket_place {
    /// This process issued it.
    here,
    /// Another VM issued it and is not known to be gone. That VM itself tells whether the same
    /// process still runs: what is known of incarnations here may be late.
    forward,
    /// The process that issued it is gone.
    executor_gone,
    /// The executor is not known at all.
    executor_unknown,
    /// The team may not use the executor's region any more.
    region_not_allowed,
};

/// @brief Whether this VM issues tickets itself where it can.
enum class executor_preference {
    self_first,
    /// Another VM of this region first, so that this VM can tell the outcome when that one dies,
    /// and that one when this one dies. Costs a hop within the region.
    another_vm_first,
};

/// @brief The VMs that may issue tickets for a team and route, best first.
///
/// They are live, in a region that the team allows and that holds a target of the route, so that
/// the way from the executor to the target stays in the region. They follow each other by the
/// delay of the link, then by the preference, and then by rendezvous hash of the team.
[[nodiscard]] std::vector<membership::member>
executors_for(const rules::rulebook& book, const rules::team& who, base::route_id route,
              const membership::view& known,
              executor_preference preference = executor_preference::self_first);

/// @brief Where to handle a request with a checked ticket.
/// @param self_process The incarnation of this process.
[[nodiscard]] ticket_place place_of(const ticket& value, const rules::team& who,
                                    const membership::view& known, base::incarnation self_process);

/// @brief The stable name of a place, for JSON bodies and metrics.
[[nodiscard]] std::string_view to_string(ticket_place place);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_EXECUTOR_CHOICE_HPP
