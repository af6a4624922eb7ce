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

/// The largest value that the configuration service stores: a manifest or one part.
inline constexpr base::bytes value_size_limit{1'000'000};

/// The largest rules text that a manifest may describe.
inline constexpr base::bytes rules_size_limit{64'000'000};

/// @brief One published version: the salt of its keys and the ordered parts of its rules text.
struct manifest {
    base::config_version version;
    std::string key_salt;
    std::vector<part_reference> parts;

    friend bool operator==(const manifest&, const manifest&) = default;
};

/// @brief Parses the text of a manifest (docs/PLATFORM.md).
/// @return An `invalid_message` error when the text does not match the format exactly, has no part,
/// or exceeds the size limits.
[[nodiscard]] base::result<manifest> parse_manifest(std::string_view text);

/// @brief Formats a manifest as text.
[[nodiscard]] std::string print_manifest(const manifest& value);

/// @brief Creates the manifest for the given parts.
[[nodiscard]] manifest make_manifest(base::config_version version, std::string key_salt,
                                     std::span<const std::string> parts);

/// @brief Returns the reference (digest and size) of a part's contents.
[[nodiscard]] part_reference make_part_reference(std::string_view contents);

/// @brief Checks a part's size and digest against its reference, and that it ends with a line feed.
/// @return An `invalid_message` error otherwise.
[[nodiscard]] base::result<void> verify_part(const part_reference& expected,
                                             std::string_view contents);

/// @brief Verifies all parts and joins them into the rules text.
/// @param parts In the order of the manifest.
[[nodiscard]] base::result<std::string> join_parts(const manifest& from,
                                                   std::span<const std::string> parts);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_MANIFEST_HPP
