#ifndef CHICORYLINK_RULES_SPLIT_HPP
#define CHICORYLINK_RULES_SPLIT_HPP

#include "chicorylink/base/units.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::rules {

/// @brief The sizes of the parts that a rules text is split into.
struct split_sizes {
    /// No part but the last is smaller.
    base::bytes smallest{12'000};
    /// The mean of what a part holds past the smallest size.
    base::bytes mean_excess{12'000};
    /// A part ends with the line that reaches this size.
    base::bytes largest{64'000};
};

/// @brief Splits a rules text into runs of whole lines; joined, they are the text again.
///
/// A run ends where the hash of a rule's kind and names says so, whatever the rule's options are.
/// A change of one rule thus changes the part that holds it and, seldom, the one after it.
[[nodiscard]] std::vector<std::string> split_rules(std::string_view text,
                                                   const split_sizes& sizes = {});

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_SPLIT_HPP
