#ifndef CHICORYLINK_RULES_CHANGE_HPP
#define CHICORYLINK_RULES_CHANGE_HPP

#include "chicorylink/rules/origin.hpp"
#include "chicorylink/rules/rule_kind.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicorylink::rules {

/// @brief What became of a rule between two versions.
enum class change_kind : std::uint8_t { added, removed, changed };

/// @brief The stable name of a change kind.
[[nodiscard]] std::string_view to_string(change_kind kind);

/// @brief One difference between two rulebooks.
struct change {
    change_kind what = change_kind::changed;
    rule_kind kind = rule_kind::team;
    /// The names of the rule, such as `shop`, or `north south` of a link.
    std::string name;
    /// The option that changed, or `asked_by`; empty when the whole rule was added or removed.
    std::string field;
    /// Empty when the rule or the option was not there; all options for a rule that was removed.
    std::string old_value;
    std::string new_value;
    /// The line of the newer text and who asked for it; of the older text for removed rules.
    origin source;
};

/// @brief The change as one line of text for operators.
[[nodiscard]] std::string to_string(const change& value);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_CHANGE_HPP
