#ifndef CHICORYLINK_RULES_DIFF_HPP
#define CHICORYLINK_RULES_DIFF_HPP

#include "chicorylink/rules/change.hpp"

#include <vector>

namespace chicorylink::rules {

class rulebook;

/// @brief All differences between two rulebooks, in order of kind and name.
///
/// Moved lines are no difference. The time is linear in the number of rules.
[[nodiscard]] std::vector<change> diff_rules(const rulebook& older, const rulebook& newer);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_DIFF_HPP
