#include "chicorylink/membership/rendezvous.hpp"
#include "chicorylink/membership/table.hpp"

#include <algorithm>

namespace chicorylink::membership {
namespace {

/// Number of VMs that query the region about a silent one.
constexpr std::size_t querier_count = 2;

} // namespace

void table::check_silent_peers(base::time_point now, effects& out)
{
    if (!list_is_fresh(now)) {
        return;
    }
    const auto fence = with_drift_margin(m_timing.fence_term);
    const auto isolation = with_drift_margin(m_timing.isolation_term);
    for (auto& [id, peer] : m_peers) {
        const bool candidate = same_region(peer) && !peer.listed && !is_gone(peer) &&
                               peer.info.process != base::incarnation{};
        const auto silence = now - std::max(peer.unlisted_since, peer.silent_since);
        if (!candidate || silence <= fence) {
            continue;
        }
        if (silence > isolation) {
            mark_gone(peer, gone_proof::silent, now, out);
        }
        else if (!peer.may_act_alone) {
            confirm_silence(peer, now, out);
        }
    }
}

void table::confirm_silence(peer_record& peer, base::time_point now, effects& out)
{
    std::vector<base::vm_id> region{m_self_id};
    std::vector<base::vm_id> live{m_self_id};
    for (const auto& [id, other] : m_peers) {
        if (!same_region(other) || is_gone(other) || id == peer.info.id) {
            continue;
        }
        region.push_back(id);
        if (state_of(other, now) == member_state::live) {
            live.push_back(id);
        }
    }
    const auto queriers = first_by_rendezvous(live, peer.info.id.value(), querier_count);
    if (region.size() == 1 || std::ranges::find(queriers, m_self_id) == queriers.end()) {
        return;
    }
    peer.fenced = true;
    const auto voted = [&](base::vm_id id) {
        return id == m_self_id || peer.silence_votes.contains(id);
    };
    if (std::ranges::all_of(region, voted)) {
        mark_gone(peer, gone_proof::silent, now, out);
        const gone_notice notice{self_sender(),
                                 {{peer.info.id, peer.info.process, gone_proof::silent}}};
        for (const auto id : region) {
            if (id != m_self_id) {
                out.send.push_back({id, find(id)->info.peer_address, notice});
            }
        }
        return;
    }
    for (const auto id : region) {
        if (!voted(id)) {
            out.send.push_back({id, find(id)->info.peer_address,
                                silence_query{self_sender(), peer.info.id, peer.info.process}});
        }
    }
}

void table::handle(const silence_query& received, base::time_point now, effects& out)
{
    auto* asker = accept(received.from, std::nullopt, now, out);
    if (asker == nullptr || received.about == m_self_id) {
        return;
    }
    const auto fence = with_drift_margin(m_timing.fence_term);
    bool silent = now - m_started > fence;
    if (auto* peer = find(received.about); peer != nullptr) {
        const bool same =
            peer->info.process == received.process || peer->info.process == base::incarnation{};
        const bool known_alone = peer->heard && peer->may_act_alone;
        silent = silent && same && now - peer->silent_since > fence && !known_alone;
        if (silent) {
            peer->info.process = received.process;
            peer->fenced = true;
        }
    }
    else if (silent) {
        m_fenced_unknown[received.about] = received.process;
    }
    out.send.push_back({received.from.vm, asker->info.peer_address,
                        silence_answer{self_sender(), received.about, received.process, silent}});
}

void table::handle(const silence_answer& received, base::time_point now, effects& out)
{
    const auto* voter = accept(received.from, std::nullopt, now, out);
    auto* peer = find(received.about);
    const bool matches = voter != nullptr && peer != nullptr && !is_gone(*peer) &&
                         peer->info.process == received.process;
    if (!matches) {
        return;
    }
    if (received.silent) {
        peer->silence_votes[received.from.vm] = now;
    }
    else {
        peer->silence_votes.erase(received.from.vm);
    }
}

} // namespace chicorylink::membership
