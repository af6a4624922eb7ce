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

/// @brief Reports a fault at a word of a statement.
void add_fault(error_list& errors, const statement& from, const word& at, std::string message,
               std::string remedy);

/// @brief The start of a word in quotes, for messages.
[[nodiscard]] std::string quoted(const word& what);

/// @brief Where a rule ends, for faults of something that is missing.
[[nodiscard]] word end_of(const statement& from);

/// @brief The option of a name; null when it is not given.
[[nodiscard]] const option* find_option(const statement& from, std::string_view name);

/// @brief The option of a name; reports when it is not given.
const option* require_option(const statement& from, std::string_view name, error_list& errors);

/// @brief Reports a wrong number of names.
/// @param usage How the rule is written, for the remedy.
/// @return Whether there are enough names to go on.
bool expect_names(const statement& from, std::size_t count, std::string_view usage,
                  error_list& errors);

/// @brief Reports options that are not among the known ones.
void expect_options(const statement& from, std::initializer_list<std::string_view> known,
                    error_list& errors);

/// @brief Reports a word that is no name.
bool check_name(const statement& from, const word& name, error_list& errors);

/// @brief Reads an option as a number; reports what is wrong with it.
/// @return `otherwise` when the option is not given or wrong.
std::int64_t quantity_of(const statement& from, const option* given, const quantity_format& format,
                         std::int64_t otherwise, error_list& errors);

/// @brief Reads an option as one of several words; reports any other.
/// @return The place of the word, or `otherwise` when the option is not given or wrong.
std::size_t choice_of(const statement& from, const option* given,
                      std::initializer_list<std::string_view> choices, std::size_t otherwise,
                      error_list& errors);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_STATEMENT_CHECKS_HPP
