#ifndef CHICORYLINK_DISPATCH_ENGINE_CONTROLLER_HPP
#define CHICORYLINK_DISPATCH_ENGINE_CONTROLLER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/view.hpp"

#include <optional>

namespace chicorylink::rules {
struct target;
} // namespace chicorylink::rules

namespace chicorylink::dispatch {

/// @brief The VM that sends commands to a target: the first of the region's VMs by rendezvous hash
/// that is not confirmed gone. Empty when the region has none.
///
/// A suspect VM stays the controller: it may still be running and may send commands at any time.
[[nodiscard]] std::optional<base::vm_id> controller_of(const rules::target& engine,
                                                       const membership::view& current_view);

/// @brief Whether this VM may send a command to a target now.
///
/// For an engine that checks fencing tokens, being the controller is enough. For one that ignores
/// them, the membership must also be valid at `now`, so that a process that was suspended sends no
/// command before it has learned which VM replaced it.
/// @param now Must be read just before the command is sent.
[[nodiscard]] bool may_command(const rules::target& engine, const membership::view& current_view,
                               base::time_point now);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ENGINE_CONTROLLER_HPP
