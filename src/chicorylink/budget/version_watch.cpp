#include "chicorylink/budget/version_watch.hpp"

#include <algorithm>

namespace chicorylink::budget {

void version_watch::hold(const held_split& split)
{
    if (std::ranges::find(m_held, split) == m_held.end()) {
        m_held.push_back(split);
        m_queried_at = {};
    }
}

void version_watch::on_rules(const rules::rulebook* before, const rules::rulebook& after)
{
    if (before == nullptr) {
        return;
    }
    for (const auto& old : before->teams()) {
        const auto team_split = split_of(old);
        const auto* new_rules = after.find(old.id);
        if (new_rules == nullptr || split_of(*new_rules) != team_split) {
            hold({old.id, after.version(), team_split});
        }
    }
}

void version_watch::add_held_splits(const std::vector<held_split>& held)
{
    for (const auto& each : held) {
        hold(each);
    }
}

void version_watch::on_view(const membership::view& members)
{
    m_list_is_fresh = members.list_is_fresh;
    std::map<base::vm_id, peer> present;
    for (const auto& each : members.members) {
        if (each.id == members.self) {
            continue;
        }
        peer entry{each.region, each.process, {}, each.state == membership::member_state::gone};
        const auto known = m_peers.find(each.id);
        if (known != m_peers.end() && known->second.process == each.process) {
            entry.version = known->second.version;
        }
        present.emplace(each.id, entry);
    }
    m_peers = std::move(present);
}

void version_watch::on_answer(const process_id& from, base::config_version version)
{
    const auto known = m_peers.find(from.vm);
    if (known != m_peers.end() && known->second.process == from.process) {
        known->second.version = std::max(known->second.version, version);
    }
}

bool version_watch::all_have(const held_split& split) const
{
    return std::ranges::all_of(m_peers, [&](const auto& entry) {
        const auto& known_peer = entry.second;
        const bool concerned = std::ranges::find(split.team_split.regions, known_peer.region) !=
                               split.team_split.regions.end();
        return known_peer.gone || !concerned || known_peer.version >= split.replaced_by;
    });
}

bool version_watch::drop_replaced()
{
    if (!m_list_is_fresh) {
        return false;
    }
    return std::erase_if(m_held, [this](const held_split& each) { return all_have(each); }) > 0;
}

std::vector<outgoing> version_watch::queries(base::time_point now)
{
    std::vector<outgoing> messages;
    if (m_held.empty() || now - m_queried_at < m_settings.version_interval) {
        return messages;
    }
    m_queried_at = now;
    for (const auto& entry : m_peers) {
        const auto& known_peer = entry.second;
        const bool needed = std::ranges::any_of(m_held, [&](const held_split& each) {
            return std::ranges::find(each.team_split.regions, known_peer.region) !=
                       each.team_split.regions.end() &&
                   known_peer.version < each.replaced_by;
        });
        if (needed && !known_peer.gone) {
            messages.push_back({entry.first, version_query{}});
        }
    }
    return messages;
}

} // namespace chicorylink::budget
