#ifndef CHICORYLINK_RULES_DIFF_HPP
#define CHICORYLINK_RULES_DIFF_HPP

#include "chicorylink/rules/change.hpp"

#include <vector>

namespace chicorylink::rules {

class rulebook;

/// @brief Returns all differences between two rulebooks, ordered by kind and name.
///
/// A changed line number is not a difference. Takes time linear in the number of rules.
[[nodiscard]] std::vector<change> diff_rules(const rulebook& older, const rulebook& newer);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_DIFF_HPP
