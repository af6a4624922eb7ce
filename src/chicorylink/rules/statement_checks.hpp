#ifndef CHICORYLINK_RULES_STATEMENT_CHECKS_HPP
#define CHICORYLINK_RULES_STATEMENT_CHECKS_HPP

#include "chicorylink/rules/quantity_format.hpp"
#include "chicorylink/rules/statement.hpp"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace chicorylink::rules {

class error_list;

/// @brief Reports an error at a word of a statement.
void add_error(error_list& errors, const statement& rule, const word& at, std::string message,
               std::string remedy);

/// @brief Returns the start of a word in quotes, for messages.
[[nodiscard]] std::string quoted(const word& token);

/// @brief Returns the end of a rule, where missing parts are reported.
[[nodiscard]] word end_of(const statement& rule);

/// @brief Finds an option by name; null when it is missing.
[[nodiscard]] const option* find_option(const statement& rule, std::string_view name);

/// @brief Finds an option by name; reports an error when it is missing.
const option* require_option(const statement& rule, std::string_view name, error_list& errors);

/// @brief Reports a wrong number of names.
/// @param usage The syntax of the rule, for the remedy.
/// @return Whether there are enough names to continue.
bool expect_names(const statement& rule, std::size_t count, std::string_view usage,
                  error_list& errors);

/// @brief Reports options that are not among the known ones.
void expect_options(const statement& rule, std::initializer_list<std::string_view> known,
                    error_list& errors);

/// @brief Reports a word that is not a valid name.
bool check_name(const statement& rule, const word& name, error_list& errors);

/// @brief Parses an option as a quantity; reports an invalid value.
/// @return `default_value` when the option is missing or invalid.
std::int64_t parse_quantity_option(const statement& rule, const option* assignment,
                                   const quantity_format& format, std::int64_t default_value,
                                   error_list& errors);

/// @brief Parses an option as one of several words; reports any other value.
/// @return The index of the word, or `default_value` when the option is missing or invalid.
std::size_t parse_choice_option(const statement& rule, const option* assignment,
                                std::initializer_list<std::string_view> choices,
                                std::size_t default_value, error_list& errors);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_STATEMENT_CHECKS_HPP
