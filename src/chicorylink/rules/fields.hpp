#ifndef CHICORYLINK_RULES_FIELDS_HPP
#define CHICORYLINK_RULES_FIELDS_HPP

#include "chicorylink/rules/rulebook.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::rules {

/// @brief One option of a rule as text.
struct field {
    std::string_view name;
    std::string value;
};

using field_list = std::vector<field>;

/// @brief Returns the names that identify a rule, as written in its line.
[[nodiscard]] std::string names_of(const rulebook& book, const region& rule);
[[nodiscard]] std::string names_of(const rulebook& book, const link& rule);
[[nodiscard]] std::string names_of(const rulebook& book, const route& rule);
[[nodiscard]] std::string names_of(const rulebook& book, const target& rule);
[[nodiscard]] std::string names_of(const rulebook& book, const team& rule);
[[nodiscard]] std::string names_of(const rulebook& book, const key& rule);

/// @brief Returns the options of a rule in the order in which they are written.
[[nodiscard]] field_list fields_of(const rulebook& book, const region& rule);
[[nodiscard]] field_list fields_of(const rulebook& book, const link& rule);
[[nodiscard]] field_list fields_of(const rulebook& book, const route& rule);
[[nodiscard]] field_list fields_of(const rulebook& book, const target& rule);
[[nodiscard]] field_list fields_of(const rulebook& book, const team& rule);
[[nodiscard]] field_list fields_of(const rulebook& book, const key& rule);

/// @brief Returns all settings of the policy, indexed by `policy_setting`.
[[nodiscard]] field_list fields_of(const policy& rule);

/// @brief Formats options as in a rule line: `name=value name=value`.
[[nodiscard]] std::string join_fields(const field_list& fields);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_FIELDS_HPP
