#ifndef CHICORYLINK_RULES_PRINT_HPP
#define CHICORYLINK_RULES_PRINT_HPP

#include <string>

namespace chicorylink::rules {

class rulebook;

/// @brief Formats a rulebook, in line order, as a rules text that parses to the same rules.
///
/// Rules without an origin get the comment `unknown`. Policy settings are written when they have
/// an origin.
[[nodiscard]] std::string print_rules(const rulebook& book);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_PRINT_HPP
