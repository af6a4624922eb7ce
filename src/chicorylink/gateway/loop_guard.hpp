#ifndef CHICORYLINK_GATEWAY_LOOP_GUARD_HPP
#define CHICORYLINK_GATEWAY_LOOP_GUARD_HPP

#include <string_view>

namespace chicorylink::gateway {

struct services;

/// The header field that each request to a target carries. A request that comes in with it went
/// through the system before and is refused.
inline constexpr std::string_view via_header = "X-Chicorylink-Via";
inline constexpr std::string_view via_header_lower = "x-chicorylink-via";

/// @brief Whether an address belongs to a VM of the system, as far as is known here.
[[nodiscard]] bool is_own_address(const services& all, std::string_view address);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_LOOP_GUARD_HPP
