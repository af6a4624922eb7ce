#include "chicorylink/budget/version_watch.hpp"

#include <algorithm>

namespace chicorylink::budget {

void version_watch::hold(const held_split& split)
{
    if (std::ranges::find(m_held, split) == m_held.end()) {
        m_held.push_back(split);
        m_asked_at = {};
    }
}

void version_watch::on_rules(const rules::rulebook* before, const rules::rulebook& after)
{
    if (before == nullptr) {
        return;
    }
    for (const auto& old : before->teams()) {
        const auto how = split_of(old);
        const auto* now_is = after.find(old.id);
        if (now_is == nullptr || split_of(*now_is) != how) {
            hold({old.id, after.version(), how});
        }
    }
}

void version_watch::learn(const std::vector<held_split>& held)
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

void version_watch::on_answer(const borrower& from, base::config_version version)
{
    const auto known = m_peers.find(from.vm);
    if (known != m_peers.end() && known->second.process == from.process) {
        known->second.version = std::max(known->second.version, version);
    }
}

bool version_watch::all_have(const held_split& split) const
{
    return std::ranges::all_of(m_peers, [&](const auto& entry) {
        const auto& who = entry.second;
        const bool concerned =
            std::ranges::find(split.how.regions, who.region) != split.how.regions.end();
        return who.gone || !concerned || who.version >= split.replaced_by;
    });
}

bool version_watch::drop_settled()
{
    if (!m_list_is_fresh) {
        return false;
    }
    return std::erase_if(m_held, [this](const held_split& each) { return all_have(each); }) > 0;
}

std::vector<outgoing> version_watch::queries(base::time_point now)
{
    std::vector<outgoing> messages;
    if (m_held.empty() || now - m_asked_at < m_terms.version_interval) {
        return messages;
    }
    m_asked_at = now;
    for (const auto& entry : m_peers) {
        const auto& who = entry.second;
        const bool needed = std::ranges::any_of(m_held, [&](const held_split& each) {
            return std::ranges::find(each.how.regions, who.region) != each.how.regions.end() &&
                   who.version < each.replaced_by;
        });
        if (needed && !who.gone) {
            messages.push_back({entry.first, version_query{}});
        }
    }
    return messages;
}

} // namespace chicorylink::budget
