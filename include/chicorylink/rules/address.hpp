#ifndef CHICORYLINK_RULES_ADDRESS_HPP
#define CHICORYLINK_RULES_ADDRESS_HPP

#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::rules {

/// @brief Returns the canonical text of an `IP:port` address, so that equal addresses compare
/// equal.
///
/// IPv6 addresses are written in brackets; an IPv4-mapped IPv6 address becomes the IPv4 address.
/// @return Empty when the text is not the address of one host and port, such as a host name,
/// port 0, the unspecified address or a multicast address.
[[nodiscard]] std::optional<std::string> canonical_address(std::string_view text);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_ADDRESS_HPP
