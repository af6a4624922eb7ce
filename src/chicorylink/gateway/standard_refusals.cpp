#include "chicorylink/gateway/standard_refusals.hpp"

#include "chicorylink/gateway/directory_response.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <fmt/format.h>

namespace chicorylink::gateway {

refusal not_ready()
{
    return {refusal_kind::not_ready, "this VM has no rules yet", "ask another VM or ask again",
            run_outcome::not_run, base::milliseconds{1'000}};
}

refusal leaving(const services& deps)
{
    return {refusal_kind::leaving, "this VM is leaving",      "ask one of the VMs listed",
            run_outcome::not_run,  base::milliseconds{1'000}, other_vms(deps, {deps.region})};
}

refusal region_refusal(const services& deps, const rules::team& caller_team)
{
    return {refusal_kind::region_not_allowed,
            fmt::format("the rules do not let team '{}' use region '{}'", caller_team.name,
                        deps.config.region),
            "ask one of the VMs listed",
            run_outcome::not_run,
            std::nullopt,
            other_vms(deps, rules::allowed_regions(caller_team))};
}

refusal unknown_route(std::string_view name)
{
    return {refusal_kind::unknown_route, fmt::format("there is no route '{}'", name),
            "use the name of a route of the rules"};
}

} // namespace chicorylink::gateway
