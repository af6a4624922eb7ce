#include "chicorylink/fleet/vm_census.hpp"

#include <algorithm>

namespace chicorylink::fleet {

void vm_census::note(const std::string& ip, const region_name& region, member_state state,
                     base::time_point heard_at)
{
    if (state == member_state::leaving) {
        m_vms.erase(ip);
    }
    else {
        m_vms[ip] = {region, heard_at};
    }
}

void vm_census::expire()
{
    base::time_point newest{};
    for (const auto& [ip, known] : m_vms) {
        newest = std::max(newest, known.heard_at);
    }
    std::erase_if(m_vms,
                  [&](const auto& entry) { return newest - entry.second.heard_at > memory; });
}

retry_sharers vm_census::sharers(const region_name& own_region,
                                 const std::set<region_name>& regions) const
{
    std::set<region_name> seen{own_region};
    for (const auto& [ip, known] : m_vms) {
        seen.insert(known.region);
    }
    const bool all_regions =
        std::includes(seen.begin(), seen.end(), regions.begin(), regions.end());
    return {m_vms.size() + 1, all_regions};
}

} // namespace chicorylink::fleet
