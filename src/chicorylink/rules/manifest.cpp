#include "chicorylink/rules/manifest.hpp"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

constexpr std::size_t salt_size_limit = 128;
constexpr std::string_view version_prefix = "version ";
constexpr std::string_view salt_prefix = "salt ";
constexpr std::string_view part_prefix = "part ";
constexpr std::size_t digest_text_size = 64;

base::leaf::error_id reject(std::size_t line, std::string_view problem)
{
    return base::fail(base::error_kind::invalid_message,
                      fmt::format("manifest line {}: {}", line, problem),
                      "publish a manifest made by 'chicorylink rules split'");
}

/// Removes and returns the first line of a text; empty when no complete line is left.
std::optional<std::string_view> next_line(std::string_view& text)
{
    const auto end = text.find('\n');
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const auto line = text.substr(0, end);
    text.remove_prefix(end + 1);
    return line;
}

std::optional<std::uint64_t> read_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size() || value == 0) {
        return std::nullopt;
    }
    return value;
}

std::optional<part_reference> read_part(std::string_view line)
{
    if (!line.starts_with(part_prefix)) {
        return std::nullopt;
    }
    line.remove_prefix(part_prefix.size());
    if (line.size() < digest_text_size + 2 || line[digest_text_size] != ' ') {
        return std::nullopt;
    }
    const auto digest = base::digest_from_hex(line.substr(0, digest_text_size));
    const auto size = read_number(line.substr(digest_text_size + 1));
    if (!digest || !size || *size > static_cast<std::uint64_t>(value_size_limit.value())) {
        return std::nullopt;
    }
    return part_reference{*digest, base::bytes{static_cast<std::int64_t>(*size)}};
}

bool is_salt(std::string_view text)
{
    return text.size() <= salt_size_limit &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

base::result<void> read_parts(std::string_view text, manifest& result)
{
    std::size_t line_number = 2;
    base::bytes total;
    while (!text.empty()) {
        const auto line = next_line(text);
        const auto part = read_part(line.value_or(""));
        ++line_number;
        if (!part) {
            return reject(line_number, "no 'part DIGEST SIZE' of at most 1 MB");
        }
        total += part->size;
        if (total > rules_size_limit) {
            return reject(line_number, "the parts together are too large");
        }
        result.parts.push_back(*part);
    }
    if (result.parts.empty()) {
        return reject(line_number, "there is no part");
    }
    return {};
}

} // namespace

base::result<manifest> parse_manifest(std::string_view text)
{
    if (text.size() > static_cast<std::size_t>(value_size_limit.value())) {
        return reject(1, "the manifest is larger than 1 MB");
    }
    manifest result;
    const auto version_line = next_line(text).value_or("");
    const auto version = version_line.starts_with(version_prefix)
                             ? read_number(version_line.substr(version_prefix.size()))
                             : std::nullopt;
    if (!version) {
        return reject(1, "no 'version NUMBER'");
    }
    result.version = base::config_version{*version};
    const auto salt_line = next_line(text).value_or("");
    if (!salt_line.starts_with(salt_prefix) || !is_salt(salt_line.substr(salt_prefix.size()))) {
        return reject(2, "no 'salt TEXT'");
    }
    result.key_salt = salt_line.substr(salt_prefix.size());
    BOOST_LEAF_CHECK(read_parts(text, result));
    return result;
}

std::string print_manifest(const manifest& value)
{
    std::string text = fmt::format("{}{}\n{}{}\n", version_prefix, value.version.value(),
                                   salt_prefix, value.key_salt);
    for (const auto& part : value.parts) {
        fmt::format_to(std::back_inserter(text), "{}{} {}\n", part_prefix,
                       base::to_hex(part.digest), part.size.value());
    }
    return text;
}

manifest make_manifest(base::config_version version, std::string key_salt,
                       std::span<const std::string> parts)
{
    manifest result{version, std::move(key_salt), {}};
    result.parts.reserve(parts.size());
    for (const auto& part : parts) {
        result.parts.push_back(make_part_reference(part));
    }
    return result;
}

part_reference make_part_reference(std::string_view contents)
{
    return {base::sha256({}, contents), base::bytes{static_cast<std::int64_t>(contents.size())}};
}

base::result<void> verify_part(const part_reference& expected, std::string_view contents)
{
    const auto hex = base::to_hex(expected.digest);
    if (static_cast<std::int64_t>(contents.size()) != expected.size.value()) {
        return base::fail(base::error_kind::invalid_message,
                          fmt::format("part {} has {} bytes instead of {}", hex, contents.size(),
                                      expected.size.value()),
                          "fetch it again from another source");
    }
    if (make_part_reference(contents).digest != expected.digest) {
        return base::fail(base::error_kind::invalid_message,
                          fmt::format("part {} has other contents", hex),
                          "fetch it again from another source");
    }
    if (!contents.ends_with('\n')) {
        return base::fail(base::error_kind::invalid_message,
                          fmt::format("part {} ends within a line", hex),
                          "publish parts made by 'chicorylink rules split'");
    }
    return {};
}

base::result<std::string> join_parts(const manifest& from, std::span<const std::string> parts)
{
    if (parts.size() != from.parts.size()) {
        return base::fail(base::error_kind::invalid_message,
                          fmt::format("{} parts instead of {}", parts.size(), from.parts.size()),
                          "fetch the missing parts");
    }
    std::string text;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        BOOST_LEAF_CHECK(verify_part(from.parts[i], parts[i]));
        text += parts[i];
    }
    return text;
}

} // namespace chicorylink::rules
