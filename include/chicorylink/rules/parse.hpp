#ifndef CHICORYLINK_RULES_PARSE_HPP
#define CHICORYLINK_RULES_PARSE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/rules/rule_error.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::rules {

class rulebook;

/// @brief Options for parsing a rules text.
struct parse_options {
    /// The file name reported in errors.
    std::string file = "rules";
    base::config_version version;
    /// The salt of the key digests; it comes from the manifest.
    std::string key_salt;
    /// `IP:port` of all VMs of the system, for callers and for peers. A target at one of them is
    /// rejected, since requests to it would loop back to the system.
    std::vector<std::string> vm_addresses;
};

/// @brief A rulebook, or all errors of the text in line order.
struct parse_outcome {
    /// Null when there are errors.
    std::shared_ptr<const rulebook> book;
    std::vector<rule_error> errors;
};

/// @brief Parses a rules text (docs/RULES.md) in time linear in its length.
///
/// The outcome depends only on the arguments, so that all VMs agree whether to accept a version.
[[nodiscard]] parse_outcome parse_rules(std::string_view text, const parse_options& options);

/// @brief Parses a rules text given in parts of whole lines, without joining them.
[[nodiscard]] parse_outcome parse_parts(std::span<const std::string> parts,
                                        const parse_options& options);
[[nodiscard]] parse_outcome parse_parts(std::span<const std::string_view> parts,
                                        const parse_options& options);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_PARSE_HPP
