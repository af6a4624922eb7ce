#include "chicorylink/dispatch/ticket.hpp"

#include "chicorylink/base/secret.hpp"

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>

#include <fmt/format.h>

namespace chicorylink::dispatch {
namespace {

constexpr std::string_view prefix = "ct1-";
constexpr std::size_t field_count = 6;
constexpr std::size_t field_digits = 16;
constexpr std::size_t fields_digits = field_count * field_digits;
constexpr std::size_t mac_digits = 64;
constexpr int hexadecimal = 16;

std::string fields_of(const ticket& value)
{
    return fmt::format("{:016x}{:016x}{:016x}{:016x}{:016x}{:016x}", value.team.value(),
                       value.route.value(), value.executor.value(), value.process.value(),
                       value.number.value(),
                       static_cast<std::uint64_t>(value.begin_before.count()));
}

std::optional<std::array<std::uint64_t, field_count>> parse_fields(std::string_view text)
{
    std::array<std::uint64_t, field_count> fields{};
    for (std::size_t i = 0; i < field_count; ++i) {
        const auto digits = text.substr(i * field_digits, field_digits);
        const char* const end = digits.data() + digits.size();
        const auto parsed = std::from_chars(digits.data(), end, fields[i], hexadecimal);
        if (parsed.ec != std::errc{} || parsed.ptr != end) {
            return std::nullopt;
        }
    }
    return fields;
}

bool is_signed(std::string_view fields, const base::digest& mac, const std::string& key)
{
    return !key.empty() && base::equal_constant_time(base::hmac_sha256(key, fields), mac);
}

base::leaf::error_id bad_ticket()
{
    return base::fail(base::error_kind::not_allowed, "the ticket is not one of this system",
                      "send the text of POST /v1/tickets unchanged");
}

} // namespace

std::string to_text(const ticket& value, const ticket_keys& keys)
{
    const auto fields = fields_of(value);
    return fmt::format("{}{}{}", prefix, fields,
                       base::to_hex(base::hmac_sha256(keys.current, fields)));
}

base::result<ticket> ticket_from_text(std::string_view text, const ticket_keys& keys)
{
    if (text.size() != prefix.size() + fields_digits + mac_digits || !text.starts_with(prefix)) {
        return bad_ticket();
    }
    const auto fields_text = text.substr(prefix.size(), fields_digits);
    const auto mac = base::digest_from_hex(text.substr(prefix.size() + fields_digits));
    if (!mac || !(is_signed(fields_text, *mac, keys.current) ||
                  is_signed(fields_text, *mac, keys.previous))) {
        return bad_ticket();
    }
    const auto fields = parse_fields(fields_text);
    if (!fields) {
        return bad_ticket();
    }
    return ticket{.team = base::team_id{(*fields)[0]},
                  .route = base::route_id{(*fields)[1]},
                  .executor = base::vm_id{(*fields)[2]},
                  .process = base::incarnation{(*fields)[3]},
                  .number = ticket_number{(*fields)[4]},
                  .begin_before = base::milliseconds{static_cast<std::int64_t>((*fields)[5])}};
}

} // namespace chicorylink::dispatch
