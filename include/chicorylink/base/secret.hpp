#ifndef CHICORYLINK_BASE_SECRET_HPP
#define CHICORYLINK_BASE_SECRET_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief A SHA-256 digest.
using digest = std::array<std::uint8_t, 32>;

/// @brief SHA-256 of the concatenation of salt and text.
[[nodiscard]] digest sha256(std::string_view salt, std::string_view text);

/// @brief HMAC-SHA-256 of a text under a key.
[[nodiscard]] digest hmac_sha256(std::string_view key, std::string_view text);

/// @brief Compares two digests in a time that does not depend on their contents.
[[nodiscard]] bool equal_constant_time(const digest& a, const digest& b);

/// @brief Lower-case hexadecimal text of a digest, 64 characters.
[[nodiscard]] std::string to_hex(const digest& value);

/// @brief Reads 64 hexadecimal characters; empty when the text is anything else.
[[nodiscard]] std::optional<digest> digest_from_hex(std::string_view text);

/// @brief 64 random bits from the operating system.
[[nodiscard]] std::uint64_t random_bits();

/// @brief Random text of the given number of bytes, as hexadecimal characters.
[[nodiscard]] std::string random_hex(std::size_t byte_count);

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_SECRET_HPP
