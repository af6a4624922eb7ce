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

/// @brief SHA-256 of `salt` followed by `text`.
[[nodiscard]] digest sha256(std::string_view salt, std::string_view text);

/// @brief HMAC-SHA-256 of a text with the given key.
[[nodiscard]] digest hmac_sha256(std::string_view key, std::string_view text);

/// @brief Compares two digests in constant time, independent of their contents.
[[nodiscard]] bool equal_constant_time(const digest& a, const digest& b);

/// @brief Formats a digest as 64 lower-case hexadecimal characters.
[[nodiscard]] std::string to_hex(const digest& value);

/// @brief Parses 64 hexadecimal characters; returns nothing for any other text.
[[nodiscard]] std::optional<digest> digest_from_hex(std::string_view text);

/// @brief Returns 64 random bits from OpenSSL's generator, which the operating system seeds.
[[nodiscard]] std::uint64_t random_bits();

/// @brief Returns the given number of random bytes as hexadecimal characters.
[[nodiscard]] std::string random_hex(std::size_t byte_count);

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_SECRET_HPP
