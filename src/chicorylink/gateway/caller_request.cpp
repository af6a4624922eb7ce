#include "chicorylink/gateway/caller_request.hpp"

#include <charconv>

namespace chicorylink::gateway {
namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t escape_length = 3;

/// Decodes the escape `%XX` at the start of the text; -1 when it is not one.
int decode_escape(std::string_view text)
{
    if (text.size() < escape_length || text[0] != '%') {
        return -1;
    }
    int value = 0;
    const char* end = text.data() + escape_length;
    const auto parsed = std::from_chars(text.data() + 1, end, value, hexadecimal);
    return parsed.ec == std::errc{} && parsed.ptr == end && value >= 0 ? value : -1;
}

} // namespace

std::string_view find_header(const header_list& headers, std::string_view name)
{
    for (const auto& [field, value] : headers) {
        if (field == name) {
            return value;
        }
    }
    return {};
}

std::string decode_url(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const int value = decode_escape(text.substr(i));
        if (value >= 0) {
            decoded.push_back(static_cast<char>(value));
            i += escape_length - 1;
        }
        else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

std::string find_parameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto parameter = query.substr(0, query.find('&'));
        const auto equals = parameter.find('=');
        if (decode_url(parameter.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? "" : decode_url(parameter.substr(equals + 1));
        }
        query.remove_prefix(std::min(query.size(), parameter.size() + 1));
    }
    return {};
}

} // namespace chicorylink::gateway
