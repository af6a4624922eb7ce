#include "chicorylink/gateway/directory_response.hpp"

#include "chicorylink/budget/placement.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/membership/directory.hpp"
#include "chicorylink/membership/view.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

/// Number of VMs per region that a team's callers should contact first.
constexpr std::size_t preferred_vms_per_region = 2;

base::milliseconds delay_to(const rules::rulebook& book, base::region_id from, base::region_id to)
{
    if (from == to) {
        return base::milliseconds{0};
    }
    const auto* link = book.find_link(from, to);
    return link == nullptr ? rules::link{}.delay : link->delay;
}

std::vector<base::region_id> nearest_first(const rules::rulebook& book, base::region_id here,
                                           std::vector<base::region_id> regions)
{
    std::stable_sort(regions.begin(), regions.end(), [&](auto a, auto b) {
        return delay_to(book, here, a) < delay_to(book, here, b);
    });
    return regions;
}

} // namespace

std::vector<std::string> other_vms(const services& deps,
                                   const std::vector<base::region_id>& regions)
{
    std::vector<std::string> addresses;
    const auto view = deps.view();
    for (const auto& vm : view->members) {
        const bool in_regions =
            std::find(regions.begin(), regions.end(), vm.region) != regions.end();
        if (in_regions && vm.id != deps.self && vm.state == membership::member_state::live) {
            addresses.push_back(vm.caller_address);
        }
    }
    return addresses;
}

http_response directory_response(const services& deps, const rules::rulebook& book,
                                 const identity& caller_identity, std::uint64_t caller_hash)
{
    const auto view = deps.view();
    const auto* team = book.find(caller_identity.team);
    membership::directory_request query;
    query.team = caller_identity.team;
    query.caller = caller_hash;
    query.allowed_regions = rules::allowed_regions(*team);
    query.region_order = nearest_first(book, deps.region, query.allowed_regions);
    for (const auto region : query.allowed_regions) {
        const auto preferred =
            budget::preferred_vms_of(*team, region, *view, preferred_vms_per_region);
        query.preferred_vms.insert(query.preferred_vms.end(), preferred.begin(), preferred.end());
    }
    const auto directory = membership::list_vms(*view, query);
    auto rows = nlohmann::ordered_json::array();
    for (const auto& vm : directory.vms) {
        const auto* region = book.find(vm.region);
        rows.push_back({{"address", vm.caller_address},
                        {"vm", vm.name},
                        {"region", region != nullptr ? region->name : ""}});
    }
    const nlohmann::ordered_json body{{"vms", rows}, {"lifetime_ms", directory.lifetime.count()}};
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace chicorylink::gateway
