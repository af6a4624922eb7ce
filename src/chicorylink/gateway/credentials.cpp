#include "chicorylink/gateway/credentials.hpp"

#include "chicorylink/base/text.hpp"

#include <algorithm>
#include <array>

namespace chicorylink::gateway {
namespace {

constexpr std::string_view key_parameter = "api_key";
constexpr std::string_view bearer_scheme = "bearer ";

/// Header fields that a target uses and that by design carry no credentials.
constexpr std::array<std::string_view, 5> allowed_headers{
    "accept", "accept-language", "content-type", "idempotency-key", "traceparent"};

void add_key(std::vector<std::string>& keys, std::string_view key)
{
    if (!key.empty() && std::find(keys.begin(), keys.end(), key) == keys.end()) {
        keys.emplace_back(key);
    }
}

/// Calls `use(name, value)` for each item of a list such as `a=1&b=2` or `a=1; b=2`.
template <class Use>
void for_each_item(std::string_view list, char separator, Use use)
{
    while (!list.empty()) {
        const auto item = list.substr(0, list.find(separator));
        const auto trimmed = base::trim_spaces(item);
        const auto equals = trimmed.find('=');
        const auto value =
            equals == std::string_view::npos ? std::string_view{} : trimmed.substr(equals + 1);
        use(trimmed.substr(0, equals), value, item);
        list.remove_prefix(std::min(list.size(), item.size() + 1));
    }
}

bool is_key_parameter(std::string_view name)
{
    return base::lower_case(decode_url(name)) == key_parameter;
}

void add_keys_of_header(std::vector<std::string>& keys, std::string_view name,
                        std::string_view value)
{
    if (name == "authorization" && base::lower_case(value).starts_with(bearer_scheme)) {
        add_key(keys, base::trim_spaces(value.substr(bearer_scheme.size())));
    }
    if (name == "x-api-key") {
        add_key(keys, base::trim_spaces(value));
    }
    if (name == "cookie") {
        for_each_item(value, ';', [&](auto item_name, auto item_value, auto) {
            if (is_key_parameter(item_name)) {
                add_key(keys, decode_url(item_value));
            }
        });
    }
}

} // namespace

std::vector<std::string> presented_keys(const caller_request& request)
{
    std::vector<std::string> keys;
    for (const auto& [name, value] : request.headers) {
        add_keys_of_header(keys, name, value);
    }
    for_each_item(request.query, '&', [&](auto name, auto value, auto) {
        if (is_key_parameter(name)) {
            add_key(keys, decode_url(value));
        }
    });
    return keys;
}

header_list target_headers(const header_list& headers, const std::vector<std::string>& keys)
{
    header_list forwarded;
    for (const auto& field : headers) {
        const bool allowed = std::find(allowed_headers.begin(), allowed_headers.end(),
                                       field.first) != allowed_headers.end();
        if (allowed && !contains_key(field.second, keys)) {
            forwarded.push_back(field);
        }
    }
    return forwarded;
}

std::string target_query(std::string_view query, const std::vector<std::string>& keys)
{
    std::string forwarded;
    for_each_item(query, '&', [&](auto name, auto, auto item) {
        if (is_key_parameter(name) || contains_key(item, keys)) {
            return;
        }
        if (!forwarded.empty()) {
            forwarded.push_back('&');
        }
        forwarded.append(item);
    });
    return forwarded;
}

bool contains_key(std::string_view text, const std::vector<std::string>& keys)
{
    const std::string decoded = decode_url(text);
    return std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
        return text.find(key) != std::string_view::npos || decoded.find(key) != std::string::npos;
    });
}

} // namespace chicorylink::gateway
