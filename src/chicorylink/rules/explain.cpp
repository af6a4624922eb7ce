#include "chicorylink/rules/explain.hpp"

#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

#include <fmt/format.h>

namespace chicorylink::rules {
namespace {

std::string citation(const origin& source)
{
    return fmt::format("line {}, asked by {}", source.line, source.asked_by);
}

std::string name_of(const rulebook& book, base::region_id id)
{
    const auto* found = book.find(id);
    return found == nullptr ? std::string() : found->name;
}

region_explanation explain_region(const rulebook& book, const team& tenant, const route& route_rule,
                                  const region& region_rule)
{
    region_explanation result;
    result.region = region_rule.name;
    for (const auto* each : book.targets_of(route_rule.id, region_rule.id)) {
        result.targets.push_back(each->name);
    }
    result.source = tenant.source;
    if (!std::ranges::binary_search(tenant.regions, region_rule.id)) {
        result.verdict = region_verdict::not_allowed;
        result.reason = fmt::format("regions= of team '{}' does not list it ({})", tenant.name,
                                    citation(tenant.source));
    }
    else if (!may_run_in(tenant, region_rule.id)) {
        result.verdict = region_verdict::home_elsewhere;
        result.reason = fmt::format("the home of team '{}' is '{}' ({})", tenant.name,
                                    name_of(book, *tenant.home), citation(tenant.source));
    }
    else if (result.targets.empty()) {
        result.verdict = region_verdict::no_target;
        result.source = route_rule.source;
        result.reason = fmt::format("no target there serves route '{}' ({})", route_rule.name,
                                    citation(route_rule.source));
    }
    else {
        result.verdict = region_verdict::runs;
        result.reason = fmt::format("regions= of team '{}' lists it ({})", tenant.name,
                                    citation(tenant.source));
    }
    return result;
}

} // namespace

std::string_view to_string(region_verdict verdict)
{
    static constexpr std::array<std::string_view, 4> names{"runs", "not_allowed", "home_elsewhere",
                                                           "no_target"};
    return names.at(static_cast<std::size_t>(verdict));
}

base::result<std::vector<region_explanation>>
explain_route(const rulebook& book, std::string_view team, std::string_view route)
{
    const auto* tenant = book.find(base::id_of<base::team_id>(team));
    if (tenant == nullptr) {
        return base::fail(base::error_kind::not_found, fmt::format("there is no team '{}'", team),
                          "name a team of the rules file");
    }
    const auto* route_rule = book.find(base::id_of<base::route_id>(route));
    if (route_rule == nullptr) {
        return base::fail(base::error_kind::not_found, fmt::format("there is no route '{}'", route),
                          "name a route of the rules file");
    }
    std::vector<region_explanation> result;
    result.reserve(book.regions().size());
    for (const auto& region_rule : book.regions()) {
        result.push_back(explain_region(book, *tenant, *route_rule, region_rule));
    }
    std::sort(result.begin(), result.end(),
              [](const auto& left, const auto& right) { return left.region < right.region; });
    return result;
}

} // namespace chicorylink::rules
