#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::rules {
namespace {

/// Finds the entry with an id in a vector that is sorted by id.
template <class Entry, class Id>
const Entry* find_by_id(const std::vector<Entry>& entries, Id id)
{
    const auto found =
        std::lower_bound(entries.begin(), entries.end(), id,
                         [](const Entry& entry, Id wanted) { return entry.id < wanted; });
    if (found == entries.end() || found->id != id) {
        return nullptr;
    }
    return &*found;
}

} // namespace

const region* rulebook::find(base::region_id id) const
{
    return find_by_id(m_regions, id);
}

const team* rulebook::find(base::team_id id) const
{
    return find_by_id(m_teams, id);
}

const route* rulebook::find(base::route_id id) const
{
    return find_by_id(m_routes, id);
}

const target* rulebook::find(base::target_id id) const
{
    return find_by_id(m_targets, id);
}

const key* rulebook::find_key(const base::digest& digest) const
{
    const auto found = std::lower_bound(
        m_keys.begin(), m_keys.end(), digest,
        [](const key& entry, const base::digest& wanted) { return entry.digest < wanted; });
    if (found == m_keys.end() || !base::equal_constant_time(found->digest, digest)) {
        return nullptr;
    }
    return &*found;
}

const link* rulebook::find_link(base::region_id a, base::region_id b) const
{
    const auto ends = std::minmax(a, b);
    const auto found = std::lower_bound(
        m_links.begin(), m_links.end(), ends, [](const link& entry, const auto& wanted) {
            return std::pair(entry.a, entry.b) < std::pair(wanted.first, wanted.second);
        });
    if (found == m_links.end() || found->a != ends.first || found->b != ends.second) {
        return nullptr;
    }
    return &*found;
}

std::vector<const target*> rulebook::targets_of(base::route_id route, base::region_id region) const
{
    std::vector<const target*> found;
    for (const auto& entry : m_targets) {
        if (entry.region == region && std::ranges::binary_search(entry.routes, route)) {
            found.push_back(&entry);
        }
    }
    return found;
}

bool may_run_in(const team& tenant, base::region_id candidate)
{
    if (tenant.home) {
        return *tenant.home == candidate;
    }
    return std::ranges::binary_search(tenant.regions, candidate);
}

std::vector<base::region_id> allowed_regions(const team& tenant)
{
    if (tenant.home) {
        return {*tenant.home};
    }
    return tenant.regions;
}

} // namespace chicorylink::rules
