#include "chicorylink/front/message_head.hpp"

#include "chicorylink/base/text.hpp"

#include <algorithm>
#include <array>
#include <ostream>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace chicorylink::front {
namespace {

constexpr std::array<std::string_view, 8> hop_by_hop_fields{
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection",
    "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade"};

std::vector<std::string> connection_options(const header_fields& fields)
{
    std::vector<std::string> names;
    for (const auto& field : fields) {
        if (!same_name(field.name, "Connection")) {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto name = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), name.size() + 1));
            names.emplace_back(base::trim_spaces(name));
        }
    }
    return names;
}

} // namespace

bool same_name(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

const std::string* find_field(const header_fields& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const header_field& field) {
        return same_name(field.name, name);
    });
    return found == fields.end() ? nullptr : &found->value;
}

std::string_view media_type(const header_fields& fields)
{
    const auto* value = find_field(fields, "Content-Type");
    if (value == nullptr) {
        return {};
    }
    return base::trim_spaces(std::string_view{*value}.substr(0, value->find(';')));
}

void remove_fields(header_fields& fields, std::string_view name)
{
    std::erase_if(fields, [&](const header_field& field) { return same_name(field.name, name); });
}

void remove_hop_by_hop_fields(header_fields& fields)
{
    for (const auto& name : connection_options(fields)) {
        remove_fields(fields, name);
    }
    for (const auto name : hop_by_hop_fields) {
        remove_fields(fields, name);
    }
    remove_fields(fields, "Content-Length");
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_fields(std::string& out, const header_fields& fields)
{
    for (const auto& field : fields) {
        append_field(out, field.name, field.value);
    }
}

std::string_view reason_phrase(int status)
{
    const auto text = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

} // namespace chicorylink::front
