#include "chicorylink/front/plain_number.hpp"

#include "chicorylink/base/text.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace chicorylink::front {

std::optional<double> parse_plain_number(std::string_view text)
{
    const auto number = base::trim_spaces(text);
    const bool is_plain = std::all_of(number.begin(), number.end(), [](unsigned char c) {
        return std::isdigit(c) != 0 || c == '.';
    });
    if (!is_plain || number.empty() || std::isdigit(static_cast<unsigned char>(number[0])) == 0) {
        return std::nullopt;
    }
    double value = 0;
    const auto* end = number.data() + number.size();
    const auto [read, problem] =
        std::from_chars(number.data(), end, value, std::chars_format::fixed);
    if (problem == std::errc::result_out_of_range) {
        return max_plain_number;
    }
    if (problem != std::errc{} || read != end) {
        return std::nullopt;
    }
    return std::min(value, max_plain_number);
}

} // namespace chicorylink::front
