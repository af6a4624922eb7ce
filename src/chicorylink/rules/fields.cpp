#include "chicorylink/rules/fields.hpp"

#include "chicorylink/rules/quantity_format.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace chicorylink::rules {
namespace {

constexpr std::array<std::string_view, 3> priority_names{"high", "normal", "low"};

std::string yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

template <class Id>
std::string name_of(const rulebook& book, Id id)
{
    const auto* found = book.find(id);
    return found == nullptr ? std::string() : found->name;
}

template <class Id>
std::string sorted_names(const rulebook& book, const std::vector<Id>& ids)
{
    std::vector<std::string> names;
    names.reserve(ids.size());
    for (const auto id : ids) {
        names.push_back(name_of(book, id));
    }
    std::sort(names.begin(), names.end());
    return fmt::format("{}", fmt::join(names, ","));
}

} // namespace

std::string names_of(const rulebook& /*book*/, const region& rule)
{
    return rule.name;
}

std::string names_of(const rulebook& book, const link& rule)
{
    const auto a = name_of(book, rule.a);
    const auto b = name_of(book, rule.b);
    return a < b ? fmt::format("{} {}", a, b) : fmt::format("{} {}", b, a);
}

std::string names_of(const rulebook& /*book*/, const route& rule)
{
    return rule.name;
}

std::string names_of(const rulebook& /*book*/, const target& rule)
{
    return rule.name;
}

std::string names_of(const rulebook& /*book*/, const team& rule)
{
    return rule.name;
}

std::string names_of(const rulebook& book, const key& rule)
{
    return fmt::format("{} sha256:{}", name_of(book, rule.team), base::to_hex(rule.digest));
}

field_list fields_of(const rulebook& /*book*/, const region& /*rule*/)
{
    return {};
}

field_list fields_of(const rulebook& /*book*/, const link& rule)
{
    return {{"delay", format_quantity(rule.delay.count(), duration_format)},
            {"rate", format_quantity(rule.rate.value(), link_rate_format)},
            {"price", format_quantity(rule.price_per_megabyte.count(), duration_format)}};
}

field_list fields_of(const rulebook& /*book*/, const route& rule)
{
    return {{"kind", rule.kind == route_kind::model ? "model" : "service"},
            {"idempotent", yes_or_no(rule.idempotent)},
            {"open", yes_or_no(rule.open_to_all)},
            {"deadline", format_quantity(rule.deadline.count(), deadline_format)},
            {"priority", std::string(priority_names.at(static_cast<std::size_t>(rule.order)))}};
}

field_list fields_of(const rulebook& book, const target& rule)
{
    return {{"region", name_of(book, rule.region)},
            {"address", rule.address},
            {"routes", sorted_names(book, rule.routes)},
            {"slots", fmt::format("{}", rule.slots)},
            {"checks_fencing", yes_or_no(rule.checks_fencing)}};
}

field_list fields_of(const rulebook& book, const team& rule)
{
    field_list fields{{"regions", sorted_names(book, rule.regions)}};
    if (rule.home) {
        fields.push_back({"home", name_of(book, *rule.home)});
    }
    fields.push_back({"rate", format_quantity(rule.rate.value(), token_rate_format)});
    fields.push_back({"burst", format_quantity(rule.burst.value(), token_format)});
    fields.push_back({"weight", fmt::format("{}", rule.weight)});
    return fields;
}

field_list fields_of(const rulebook& /*book*/, const key& /*rule*/)
{
    return {};
}

field_list fields_of(const policy& rule)
{
    return {{"tail_weight", fmt::format("{}", rule.tail_weight)},
            {"worst_team_weight", fmt::format("{}", rule.worst_team_weight)},
            {"refusal_weight", fmt::format("{}", rule.refusal_weight)},
            {"sent_away_weight", fmt::format("{}", rule.sent_away_weight)},
            {"stay_home", format_quantity(rule.stay_home.count(), duration_format)}};
}

std::string join_fields(const field_list& fields)
{
    std::string text;
    for (const auto& each : fields) {
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", each.name, each.value);
    }
    return text;
}

} // namespace chicorylink::rules
