#ifndef CHICORYLINK_DISPATCH_ORDERER_HPP
#define CHICORYLINK_DISPATCH_ORDERER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/view.hpp"

#include <optional>

namespace chicorylink::rules {
struct target;
} // namespace chicorylink::rules

namespace chicorylink::dispatch {

/// @brief The VM whose turn it is to give orders to a target: the first of the region's VMs by
/// rendezvous hash that is not proven gone. Empty when the region has none.
///
/// A VM that is only suspect keeps its turn: it may run and order at any moment.
[[nodiscard]] std::optional<base::vm_id> orderer_of(const rules::target& subject,
                                                    const membership::view& known);

/// @brief Whether this VM may send an order to a target now.
///
/// For an engine that checks fencing tokens, being the live orderer is enough. For one that
/// ignores them the membership must also be in force at `now`, so that a process that slept does
/// not order before it has heard who took its place.
/// @param now Taken just before the order is sent.
[[nodiscard]] bool may_order(const rules::target& subject, const membership::view& known,
                             base::time_point now);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ORDERER_HPP
