#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/limited_regions.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/request_bytes.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

// The part of `exchange` that chooses among other regions and sends the request there.

namespace chicorylink::front {
namespace {

/// Longer than within a region, allowing for a loaded link.
constexpr base::milliseconds remote_connect_timeout{800};

} // namespace

std::vector<fleet::remote_region> exchange::remote_candidates(base::time_point now) const
{
    if (m_request.from_peer()) {
        return {};
    }
    auto regions = fleet::remote_regions(m_core.remote_digests, m_resolved.service->name,
                                         m_core.remote_traffic, now);
    for (const auto& region : region_names(m_core.settings)) {
        if (region != m_core.settings.self.region && !m_core.remote_digests.knows(region, now)) {
            regions.push_back(fleet::region_without_digest(region));
        }
    }
    std::erase_if(regions, [&](const fleet::remote_region& other) {
        return !may_leave_for(other.region, now);
    });
    return regions;
}

bool exchange::is_eligible_peer(const std::string& ip, const fleet::member& peer,
                                const fleet::region_name& region, base::time_point now) const
{
    return peer.region == region && fleet::roster::takes_requests(peer, now) &&
           std::find(m_tried_peers.begin(), m_tried_peers.end(), std::pair{ip, peer.run}) ==
               m_tried_peers.end();
}

bool exchange::has_peer_in(const fleet::region_name& region, base::time_point now) const
{
    const auto& members = m_core.members.members();
    return std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        return is_eligible_peer(entry.first, entry.second, region, now);
    });
}

bool exchange::may_leave_for(const fleet::region_name& region, base::time_point now) const
{
    return region != m_core.settings.self.region && has_version_in(region) &&
           fleet::may_run_in(*m_resolved.route, m_resolved.team, region) &&
           has_peer_in(region, now);
}

std::string exchange::choose_peer(const fleet::region_name& region, base::time_point now) const
{
    // Weighted rendezvous hashing: a VM gets requests in proportion to its capacity.
    std::string best;
    double best_rank = 0;
    const auto key = base::hash_name(m_request.id);
    for (const auto& [ip, peer] : m_core.members.members()) {
        if (!is_eligible_peer(ip, peer, region, now)) {
            continue;
        }
        const double rank = base::rendezvous_rank(base::hash_pair(key, base::hash_name(ip)),
                                                  peer.capacity.value() + 1);
        if (best.empty() || rank > best_rank) {
            best = ip;
            best_rank = rank;
        }
    }
    return best;
}

std::vector<fleet::limited_region> exchange::limited_candidates(base::time_point now) const
{
    if (m_request.from_peer() || !m_tried_peers.empty()) {
        return {};
    }
    auto regions = fleet::limited_regions(m_core.remote_digests, m_resolved.service->name, now);
    std::erase_if(regions, [&](const fleet::limited_region& other) {
        return !may_leave_for(other.destination.region, now);
    });
    return regions;
}

bool exchange::send_to_limited_region(base::time_point now)
{
    const auto& service = m_resolved.service->name;
    const auto vm_count = static_cast<double>(m_core.members.region_ips(now).size());
    for (const auto& other : limited_candidates(now)) {
        const std::pair key{other.destination.region, service};
        const double rate = other.per_second / vm_count;
        if (m_core.region_pacer.allows(key, rate, now)) {
            m_core.region_pacer.note_sent(key, rate, now);
            m_core.counters.add("limited_region_requests_total");
            send_to_peer(fleet::decide_for_region(other.destination, make_region_request(now)),
                         choose_peer(other.destination.region, now), now);
            return true;
        }
    }
    return false;
}

std::optional<base::milliseconds> exchange::wait_for_limited_regions(base::time_point now)
{
    double rate = 0;
    for (const auto& other : limited_candidates(now)) {
        rate += other.per_second;
    }
    if (rate <= 0) {
        return std::nullopt;
    }
    // Callers return to the VMs of all regions.
    const auto vm_count = static_cast<double>(m_core.members.size(now).live);
    return m_core.returns.next(m_resolved.service->name, rate / vm_count, time_left(now), now);
}

void exchange::send_to_peer(const fleet::region_decision& decision, const std::string& ip,
                            base::time_point now)
{
    attempt next;
    next.address = fmt::format("{}:{}", ip, m_core.settings.peer_port);
    next.region = decision.region;
    next.expected_wait = decision.wait;
    next.expected_start = decision.start;
    m_attempt = std::make_unique<attempt>(std::move(next));
    m_silence_reported = false;
    m_tried_peers.emplace_back(ip, m_core.members.members().at(ip).run);
    const auto one_way = decision.round_trip / 2;
    m_core.remote_traffic.note(decision.region, m_resolved.service->name, decision.tokens, now);
    send(serialize_for_peer(m_request, m_resolved,
                            {std::max(base::milliseconds{1}, time_left(now) - one_way),
                             m_last_event_id,
                             {},
                             m_version},
                            m_core.protocol.names),
         remote_connect_timeout, now);
}

} // namespace chicorylink::front
