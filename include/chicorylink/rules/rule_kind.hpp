#ifndef CHICORYLINK_RULES_RULE_KIND_HPP
#define CHICORYLINK_RULES_RULE_KIND_HPP

#include <cstdint>
#include <string_view>

namespace chicorylink::rules {

/// @brief The kinds of rule lines.
enum class rule_kind : std::uint8_t { region, link, route, target, policy, team, key };

/// @brief Returns the keyword that starts a line of this kind.
[[nodiscard]] std::string_view to_string(rule_kind kind);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_RULE_KIND_HPP
