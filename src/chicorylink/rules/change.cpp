#include "chicorylink/rules/change.hpp"

#include <array>
#include <cstddef>

#include <fmt/format.h>

namespace chicorylink::rules {

std::string_view to_string(rule_kind kind)
{
    static constexpr std::array<std::string_view, 7> names{"region", "link", "route", "target",
                                                           "policy", "team", "key"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(change_kind kind)
{
    static constexpr std::array<std::string_view, 3> names{"added", "removed", "changed"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string to_string(const change& value)
{
    const auto subject =
        fmt::format("{} {} {}", to_string(value.what), to_string(value.kind), value.name);
    const auto source =
        fmt::format("line {}, asked by {}", value.source.line, value.source.asked_by);
    switch (value.what) {
    case change_kind::added:
        return fmt::format("{} {} ({})", subject, value.new_value, source);
    case change_kind::removed:
        return fmt::format("{} {} (was {})", subject, value.old_value, source);
    case change_kind::changed:
        break;
    }
    return fmt::format("{} {}: '{}' -> '{}' ({})", subject, value.field, value.old_value,
                       value.new_value, source);
}

} // namespace chicorylink::rules
