#include "chicorylink/rules/quantity_format.hpp"

#include <algorithm>
#include <charconv>
#include <system_error>

#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

constexpr std::size_t quoted_size_limit = 40;

std::string unit_list(const quantity_format& format)
{
    std::string list;
    for (const auto& each : format.units) {
        list += list.empty() ? "" : ", ";
        list += each.suffix.empty() ? "none" : each.suffix;
    }
    return list;
}

std::string bounds_error(const quantity_format& format)
{
    return fmt::format("the number is not between {} and {}",
                       format_quantity(format.min_value, format),
                       format_quantity(format.max_value, format));
}

} // namespace

parsed_quantity parse_quantity(std::string_view text, const quantity_format& format)
{
    std::int64_t number = 0;
    const char* const end_of_text = text.data() + text.size();
    const auto [end, failure] = std::from_chars(text.data(), end_of_text, number);
    if (failure == std::errc::result_out_of_range) {
        return {0, bounds_error(format)};
    }
    if (failure != std::errc{}) {
        return {0, fmt::format("'{}' is no number", text.substr(0, quoted_size_limit))};
    }
    const std::string_view suffix(end, static_cast<std::size_t>(end_of_text - end));
    const auto found = std::find_if(format.units.begin(), format.units.end(),
                                    [&](const unit& each) { return each.suffix == suffix; });
    if (found == format.units.end()) {
        return {0, fmt::format("the unit '{}' is not one of: {}",
                               suffix.substr(0, quoted_size_limit), unit_list(format))};
    }
    std::int64_t value = 0;
    if (__builtin_mul_overflow(number, found->factor, &value) || value < format.min_value ||
        value > format.max_value) {
        return {0, bounds_error(format)};
    }
    return {value, {}};
}

std::string format_quantity(std::int64_t value, const quantity_format& format)
{
    auto best = format.units.front();
    for (const auto& each : format.units) {
        if (value != 0 && value % each.factor == 0 && each.factor > best.factor) {
            best = each;
        }
    }
    return fmt::format("{}{}", value / best.factor, best.suffix);
}

} // namespace chicorylink::rules
