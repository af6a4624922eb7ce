#include "chicorylink/fleet/directory_choice.hpp"

#include "chicorylink/fleet/configuration.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>

namespace chicorylink::fleet {
namespace {

/// How many of the restricted routes may run in a region.
std::ptrdiff_t allowing_routes(const region_restrictions& restrictions, const region_name& region)
{
    return std::count_if(restrictions.begin(), restrictions.end(),
                         [&](const auto& allowed) { return is_allowed(allowed, region); });
}

/// The ready VMs in the regions that satisfy a condition.
template <typename Condition>
std::vector<directory_vm> ready_vms(const directory_view& view, const Condition& includes)
{
    std::vector<directory_vm> ready;
    std::copy_if(view.vms.begin(), view.vms.end(), std::back_inserter(ready),
                 [&](const directory_vm& vm) { return vm.is_ready && includes(vm.region); });
    return ready;
}

} // namespace

region_restrictions restrictions_of(const configuration& config, std::string_view host)
{
    region_restrictions restrictions;
    for (const auto& entry : config.routes()) {
        if (entry.host == host && !entry.allowed_regions.empty()) {
            restrictions.push_back(entry.allowed_regions);
        }
    }
    return restrictions;
}

std::vector<directory_vm> choose_vms(const directory_view& view, const region_name& caller_region,
                                     const region_restrictions& restrictions, base::time_point now)
{
    auto own = ready_vms(view, [&](const region_name& region) { return region == caller_region; });
    if (!own.empty() || now - view.started_at < discovery_time) {
        return own;
    }
    // During a rolling restart of the region, callers keep the addresses that they have: those VMs
    // are reachable again before VMs of another region would help.
    const bool restarting = std::any_of(view.vms.begin(), view.vms.end(), [&](const auto& vm) {
        return vm.region == caller_region && vm.is_leaving;
    });
    if (restarting) {
        return {};
    }
    std::ptrdiff_t most = 0;
    for (const auto& vm : view.vms) {
        if (vm.is_ready) {
            most = std::max(most, allowing_routes(restrictions, vm.region));
        }
    }
    return ready_vms(view, [&](const region_name& region) {
        return allowing_routes(restrictions, region) == most;
    });
}

std::string regions_of(const std::vector<directory_vm>& vms)
{
    std::set<region_name> regions;
    std::string text;
    for (const auto& vm : vms) {
        if (regions.insert(vm.region).second) {
            text += (text.empty() ? "" : ",") + vm.region.text();
        }
    }
    return text;
}

} // namespace chicorylink::fleet
