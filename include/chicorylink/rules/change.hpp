#ifndef CHICORYLINK_RULES_CHANGE_HPP
#define CHICORYLINK_RULES_CHANGE_HPP

#include "chicorylink/rules/origin.hpp"
#include "chicorylink/rules/rule_kind.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicorylink::rules {

/// @brief How a rule differs between two versions.
enum class change_kind : std::uint8_t { added, removed, changed };

/// @brief Returns the stable name of a change kind.
[[nodiscard]] std::string_view to_string(change_kind kind);

/// @brief One difference between two rulebooks.
struct change {
    change_kind what = change_kind::changed;
    rule_kind kind = rule_kind::team;
    /// The names of the rule, such as `shop`, or `north south` for a link.
    std::string name;
    /// The option that changed, or `asked_by`; empty when the whole rule was added or removed.
    std::string field;
    /// Empty when the rule or option did not exist; all options of a removed rule.
    std::string old_value;
    std::string new_value;
    /// Line and requester in the newer text, or in the older text for removed rules.
    origin source;
};

/// @brief Formats the change as one line of text for operators.
[[nodiscard]] std::string to_string(const change& value);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_CHANGE_HPP
