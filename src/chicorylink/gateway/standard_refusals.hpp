#ifndef CHICORYLINK_GATEWAY_STANDARD_REFUSALS_HPP
#define CHICORYLINK_GATEWAY_STANDARD_REFUSALS_HPP

#include "chicorylink/gateway/refusal.hpp"

#include <string_view>

namespace chicorylink::rules {
struct team;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

struct services;

/// Refusals that both a caller's and a forwarded request may get.

/// @brief This VM has no rules in force, or does not know yet whether they are the newest.
[[nodiscard]] refusal not_ready();

/// @brief This VM takes no new requests; names others of its region.
[[nodiscard]] refusal leaving(const services& all);

/// @brief The team may not use this region; names VMs of those that it may.
[[nodiscard]] refusal region_refusal(const services& all, const rules::team& who);

/// @brief There is no route of this name and kind.
[[nodiscard]] refusal unknown_route(std::string_view name);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_STANDARD_REFUSALS_HPP
