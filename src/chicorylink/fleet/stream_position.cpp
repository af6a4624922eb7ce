#include "chicorylink/fleet/stream_position.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

bool is_number(std::string_view text)
{
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string_view without_leading_zeros(std::string_view digits)
{
    digits.remove_prefix(std::min(digits.find_first_not_of('0'), digits.size()));
    return digits;
}

} // namespace

bool follows(std::string_view event_id, std::string_view last_id)
{
    if (!is_number(event_id) || !is_number(last_id)) {
        return event_id != last_id;
    }
    // Compared as digits, because ids may be larger than any integer type.
    const auto event = without_leading_zeros(event_id);
    const auto last = without_leading_zeros(last_id);
    return event.size() != last.size() ? event.size() > last.size() : event > last;
}

} // namespace chicorylink::fleet
