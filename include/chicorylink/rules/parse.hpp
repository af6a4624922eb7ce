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

/// @brief What a rules text is read with.
struct parse_options {
    /// The name that errors carry.
    std::string file = "rules";
    base::config_version version;
    /// The salt of the key digests; it comes from the manifest.
    std::string key_salt;
    /// `IP:port` of all VMs of the system, callers' and peers' addresses alike. A target at one of
    /// them is refused, since requests to it would come back to the system.
    std::vector<std::string> vm_addresses;
};

/// @brief A rulebook, or every fault of the text in the order of lines.
struct parse_outcome {
    /// Null when there are errors.
    std::shared_ptr<const rulebook> book;
    std::vector<rule_error> errors;
};

/// @brief Reads a rules text (docs/RULES.md) in time linear in its length.
///
/// The outcome depends on the arguments alone, so that all VMs accept or refuse a version alike.
[[nodiscard]] parse_outcome parse_rules(std::string_view text, const parse_options& options);

/// @brief Reads a rules text that is given in parts, each of whole lines, without joining them.
[[nodiscard]] parse_outcome parse_parts(std::span<const std::string> parts,
                                        const parse_options& options);
[[nodiscard]] parse_outcome parse_parts(std::span<const std::string_view> parts,
                                        const parse_options& options);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_PARSE_HPP
