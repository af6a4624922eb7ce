#include "chicorylink/fleet/configuration.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::fleet {

configuration::configuration(base::config_version version, std::vector<route> routes,
                             std::vector<service> services, std::vector<team> teams,
                             caller_limits limits)
    : m_version(version), m_routes(std::move(routes)), m_services(std::move(services)),
      m_teams(std::move(teams)), m_limits(limits)
{
    for (const auto& entry : m_routes) {
        m_routes_by_host[entry.host].push_back(&entry);
    }
    for (auto& [host, entries] : m_routes_by_host) {
        std::stable_sort(entries.begin(), entries.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const auto& entry : m_teams) {
        for (const auto& key : entry.keys) {
            m_teams_by_key.emplace(key, &entry);
        }
    }
}

const route* configuration::find_route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes_by_host.find(host);
    if (found == m_routes_by_host.end()) {
        return nullptr;
    }
    for (const auto* entry : found->second) {
        if (path.starts_with(entry->path_prefix)) {
            return entry;
        }
    }
    return nullptr;
}

bool configuration::has_host(std::string_view host) const
{
    return m_routes_by_host.contains(host);
}

const service* configuration::find_service(const service_name& name) const
{
    const auto found = std::find_if(m_services.begin(), m_services.end(),
                                    [&](const service& entry) { return entry.name == name; });
    return found == m_services.end() ? nullptr : &*found;
}

const team* configuration::team_of_key(std::string_view key) const
{
    const auto found = m_teams_by_key.find(key);
    return found == m_teams_by_key.end() ? nullptr : found->second;
}

const service_name& pick_service(const route& matched_route, std::uint64_t bits)
{
    std::uint64_t total = 0;
    for (const auto& candidate : matched_route.services) {
        total += candidate.weight;
    }
    auto offset = total == 0 ? 0 : bits % total;
    for (const auto& candidate : matched_route.services) {
        if (offset < candidate.weight) {
            return candidate.service;
        }
        offset -= candidate.weight;
    }
    return matched_route.services.front().service;
}

bool is_allowed(const std::vector<region_name>& allowed, const region_name& region)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

bool may_run_in(const route& matched_route, const team* caller_team, const region_name& region)
{
    return is_allowed(matched_route.allowed_regions, region) &&
           (caller_team == nullptr || is_allowed(caller_team->allowed_regions, region));
}

} // namespace chicorylink::fleet
