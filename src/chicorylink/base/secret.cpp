#include "chicorylink/base/secret.hpp"

#include <cstddef>
#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace chicorylink::base {
namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

void append_hex(std::string& text, std::uint8_t byte)
{
    text.push_back(hex_digits[byte >> 4U]);
    text.push_back(hex_digits[byte & 0x0FU]);
}

int hex_value(char c)
{
    const auto position =
        hex_digits.find(c >= 'A' && c <= 'F' ? static_cast<char>(c - 'A' + 'a') : c);
    return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

void fill_random(void* data, std::size_t size)
{
    if (RAND_bytes(static_cast<unsigned char*>(data), static_cast<int>(size)) != 1) {
        throw std::runtime_error("the operating system's random source failed; check /dev/urandom");
    }
}

} // namespace

digest sha256(std::string_view salt, std::string_view text)
{
    const std::string joined = std::string(salt) + std::string(text);
    digest value{};
    EVP_Digest(joined.data(), joined.size(), value.data(), nullptr, EVP_sha256(), nullptr);
    return value;
}

digest hmac_sha256(std::string_view key, std::string_view text)
{
    digest value{};
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), value.data(), nullptr);
    return value;
}

bool equal_constant_time(const digest& a, const digest& b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string to_hex(const digest& value)
{
    std::string text;
    text.reserve(value.size() * 2);
    for (const auto byte : value) {
        append_hex(text, byte);
    }
    return text;
}

std::optional<digest> digest_from_hex(std::string_view text)
{
    digest value{};
    if (text.size() != value.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < value.size(); ++i) {
        const int high = hex_value(text[2 * i]);
        const int low = hex_value(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        value[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return value;
}

std::uint64_t random_bits()
{
    std::uint64_t bits = 0;
    fill_random(&bits, sizeof(bits));
    return bits;
}

std::string random_hex(std::size_t byte_count)
{
    std::string bytes(byte_count, '\0');
    fill_random(bytes.data(), bytes.size());
    std::string text;
    for (const char byte : bytes) {
        append_hex(text, static_cast<std::uint8_t>(byte));
    }
    return text;
}

} // namespace chicorylink::base
