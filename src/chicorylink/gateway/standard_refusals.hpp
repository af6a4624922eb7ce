#ifndef CHICORYLINK_GATEWAY_STANDARD_REFUSALS_HPP
#define CHICORYLINK_GATEWAY_STANDARD_REFUSALS_HPP

#include "chicorylink/gateway/refusal.hpp"

#include <string_view>

namespace chicorylink::rules {
struct team;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

struct services;

/// Refusals common to callers' requests and forwarded requests.

/// @brief This VM has no rules in force, or has not confirmed yet that they are the newest.
[[nodiscard]] refusal not_ready();

/// @brief This VM accepts no new requests; lists other VMs of its region.
[[nodiscard]] refusal leaving(const services& deps);

/// @brief The team may not use this region; lists VMs of its allowed regions.
[[nodiscard]] refusal region_refusal(const services& deps, const rules::team& caller_team);

/// @brief There is no route of this name and kind.
[[nodiscard]] refusal unknown_route(std::string_view name);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_STANDARD_REFUSALS_HPP
