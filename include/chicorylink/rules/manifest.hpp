#ifndef CHICORYLINK_RULES_MANIFEST_HPP
#define CHICORYLINK_RULES_MANIFEST_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/part_reference.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::rules {

/// The largest value that the configuration service holds: a manifest or one part.
inline constexpr base::bytes value_size_limit{1'000'000};

/// The largest rules text that a manifest may describe.
inline constexpr base::bytes rules_size_limit{64'000'000};

/// @brief One published version: the salt of its keys and the parts of its rules text in order.
struct manifest {
    base::config_version version;
    std::string key_salt;
    std::vector<part_reference> parts;

    friend bool operator==(const manifest&, const manifest&) = default;
};

/// @brief Reads the text of a manifest (docs/PLATFORM.md).
/// @return An `invalid_message` error when it is not exactly of that form, has no part, or passes
/// the size limits.
[[nodiscard]] base::result<manifest> parse_manifest(std::string_view text);

/// @brief Writes a manifest as text.
[[nodiscard]] std::string print_manifest(const manifest& value);

/// @brief Makes the manifest of parts.
[[nodiscard]] manifest make_manifest(base::config_version version, std::string key_salt,
                                     std::span<const std::string> parts);

/// @brief The reference of a part's contents.
[[nodiscard]] part_reference reference_to(std::string_view contents);

/// @brief Checks that a part has the size and the digest of its reference, and ends a line.
/// @return An `invalid_message` error otherwise.
[[nodiscard]] base::result<void> verify_part(const part_reference& expected,
                                             std::string_view contents);

/// @brief Verifies all parts and joins them to the rules text.
/// @param parts In the order of the manifest.
[[nodiscard]] base::result<std::string> join_parts(const manifest& from,
                                                   std::span<const std::string> parts);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_MANIFEST_HPP
