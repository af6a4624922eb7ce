#include "chicorylink/front/retry_after.hpp"

#include "chicorylink/base/text.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace chicorylink::front {
namespace {

/// Larger values are clamped to this; far above any real retry delay.
constexpr double max_seconds = 1e9;

constexpr double ms_per_second = 1000;

} // namespace

std::optional<base::milliseconds> parse_retry_after(std::string_view text)
{
    const auto number = base::trim_spaces(text);
    const bool is_plain = std::all_of(number.begin(), number.end(), [](unsigned char c) {
        return std::isdigit(c) != 0 || c == '.';
    });
    if (!is_plain || number.empty() || std::isdigit(static_cast<unsigned char>(number[0])) == 0) {
        return std::nullopt;
    }
    double seconds = 0;
    const auto* end = number.data() + number.size();
    const auto [read, problem] =
        std::from_chars(number.data(), end, seconds, std::chars_format::fixed);
    if (problem == std::errc::result_out_of_range) {
        seconds = max_seconds;
    }
    else if (problem != std::errc{} || read != end) {
        return std::nullopt;
    }
    const double ms = std::ceil(std::min(seconds, max_seconds) * ms_per_second);
    return base::milliseconds{static_cast<std::int64_t>(ms)};
}

} // namespace chicorylink::front
