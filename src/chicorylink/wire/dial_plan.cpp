#include "chicorylink/wire/dial_plan.hpp"

#include "chicorylink/wire/backoff.hpp"

#include <algorithm>

namespace chicorylink::wire {

dial_plan::dial_plan(base::vm_id self, std::uint64_t seed, const link_limits& limits)
    : m_self(self), m_seed(seed), m_limits(limits)
{
}

std::vector<base::vm_id> dial_plan::set_peers(const std::vector<peer_address>& peers,
                                              base::time_point now)
{
    std::unordered_map<base::vm_id, entry> next;
    for (const auto& peer : peers) {
        if (peer.vm == m_self) {
            continue;
        }
        const auto old = m_peers.find(peer.vm);
        if (old != m_peers.end() && old->second.address == peer.address) {
            next.insert_or_assign(peer.vm, old->second);
        }
        else {
            next.insert_or_assign(peer.vm, entry{.address = peer.address, .due = now});
        }
    }
    std::vector<base::vm_id> retired_peers;
    for (const auto& [vm, old] : m_peers) {
        const auto kept = next.find(vm);
        if (kept == next.end() || kept->second.address != old.address) {
            retired_peers.push_back(vm);
        }
    }
    m_peers = std::move(next);
    return retired_peers;
}

std::vector<peer_address> dial_plan::take_due(base::time_point now)
{
    std::vector<peer_address> due;
    for (auto& [vm, peer] : m_peers) {
        if (peer.due <= now) {
            peer.due = base::time_point::max();
            due.push_back({vm, peer.address});
        }
    }
    return due;
}

void dial_plan::connected(base::vm_id vm)
{
    const auto found = m_peers.find(vm);
    if (found != m_peers.end()) {
        found->second.failures = 0;
    }
}

void dial_plan::failed(base::vm_id vm, base::time_point now)
{
    const auto found = m_peers.find(vm);
    if (found == m_peers.end()) {
        return;
    }
    auto& peer = found->second;
    ++peer.failures;
    peer.due = next_attempt(now, peer.failures, base::hash_pair(m_seed, vm.value()), m_limits);
}

base::time_point dial_plan::next_due() const
{
    auto next = base::time_point::max();
    for (const auto& [vm, peer] : m_peers) {
        next = std::min(next, peer.due);
    }
    return next;
}

} // namespace chicorylink::wire
