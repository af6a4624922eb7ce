#ifndef CHICORYLINK_GATEWAY_LOOP_GUARD_HPP
#define CHICORYLINK_GATEWAY_LOOP_GUARD_HPP

#include <string_view>

namespace chicorylink::gateway {

struct services;

/// Header field of each request to a target. An incoming request that has it already passed
/// through the system and is refused.
inline constexpr std::string_view via_header = "X-Chicorylink-Via";
inline constexpr std::string_view via_header_lower = "x-chicorylink-via";

/// @brief Whether an address belongs to a VM of the system, by the current view.
[[nodiscard]] bool is_own_address(const services& deps, std::string_view address);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_LOOP_GUARD_HPP
