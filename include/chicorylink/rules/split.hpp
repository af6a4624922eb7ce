#ifndef CHICORYLINK_RULES_SPLIT_HPP
#define CHICORYLINK_RULES_SPLIT_HPP

#include "chicorylink/base/units.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::rules {

/// @brief The sizes of the parts that a rules text is split into.
struct split_sizes {
    /// Minimum size of every part but the last.
    base::bytes smallest{12'000};
    /// The mean number of bytes in a part beyond the minimum size.
    base::bytes mean_excess{12'000};
    /// A part ends with the line that reaches this size.
    base::bytes largest{64'000};
};

/// @brief Splits a rules text into parts of whole lines; joining them gives the text again.
///
/// The hash of a rule's kind and names, without its options, decides whether a part ends there.
/// A change of one rule thus changes only the part that contains it and, rarely, the next one.
[[nodiscard]] std::vector<std::string> split_rules(std::string_view text,
                                                   const split_sizes& sizes = {});

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_SPLIT_HPP
