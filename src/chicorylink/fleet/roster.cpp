#include "chicorylink/fleet/roster.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chicorylink::fleet {
namespace {

/// Weight of the newest round trip in the smoothed one.
constexpr double round_trip_weight = 0.2;

void note_round_trip(member& known, const heartbeat& message, base::time_point now)
{
    if (message.echo_ms == 0) {
        return;
    }
    const auto now_ms =
        std::chrono::duration_cast<base::milliseconds>(now.time_since_epoch()).count();
    const auto elapsed = now_ms - static_cast<std::int64_t>(message.echo_ms);
    const auto measured =
        static_cast<double>(std::max<std::int64_t>(0, elapsed - message.echo_held.count()));
    const double before =
        known.round_trip ? static_cast<double>(known.round_trip->count()) : measured;
    known.round_trip = base::milliseconds{
        static_cast<std::int64_t>(before + round_trip_weight * (measured - before))};
}

/// A candidate for delegate; sorted by capacity, the largest first, then by hash.
struct ranked_vm {
    int rank = 0;
    std::uint64_t hash = 0;
    std::string ip;
    data_center_hash data_center;
};

/// Moves the first VM of a data center other than that of the front to the second place, if its
/// capacity equals that of the VM there.
void prefer_another_data_center(std::vector<ranked_vm>& ranked)
{
    if (ranked.size() < 2) {
        return;
    }
    const auto second = ranked.begin() + 1;
    const auto elsewhere = std::find_if(second, ranked.end(), [&](const ranked_vm& vm) {
        return vm.data_center != ranked.front().data_center;
    });
    if (elsewhere != ranked.end() && elsewhere->rank == second->rank) {
        std::rotate(second, elsewhere, elsewhere + 1);
    }
}

} // namespace

roster::roster(member_identity self, std::vector<std::string> seed_ips,
               std::set<region_name> regions)
    : m_self(std::move(self)), m_seeds(std::move(seed_ips)), m_regions(std::move(regions))
{
}

void roster::set_seeds_and_regions(std::vector<std::string> seed_ips, std::set<region_name> regions)
{
    m_seeds = std::move(seed_ips);
    m_regions = std::move(regions);
}

heartbeat_effect roster::on_heartbeat(const heartbeat& message, base::time_point now)
{
    const auto& ip = message.from.ip;
    const auto replaced = m_replaced.find(ip);
    if (ip == m_self.ip || (replaced != m_replaced.end() && replaced->second == message.from.run)) {
        return heartbeat_effect::ignored;
    }
    auto effect = heartbeat_effect::refreshed;
    auto [entry, is_new] = m_members.try_emplace(ip);
    auto& known = entry->second;
    if (is_new) {
        effect = heartbeat_effect::joined;
    }
    else if (known.run != message.from.run) {
        m_replaced[ip] = known.run;
        known = member{};
        effect = heartbeat_effect::restarted;
    }
    else if (message.sequence <= known.sequence) {
        return heartbeat_effect::ignored;
    }
    else if (known.state != message.state) {
        effect = heartbeat_effect::state_changed;
    }
    known.region = message.from.region;
    known.data_center = message.data_center;
    known.run = message.from.run;
    known.capacity = message.from.capacity;
    known.state = message.state;
    known.heard_at = now;
    known.direct_at = now;
    known.sequence = message.sequence;
    known.sent_ms = message.sent_ms;
    known.confirmed_age = message.confirmed_age;
    known.silence_reported = false;
    note_round_trip(known, message, now);
    m_census.note(ip, known.region, known.state, now);
    return effect;
}

void roster::on_digest(const region_digest& digest, base::time_point now)
{
    for (const auto& reported : digest.members) {
        const auto heard_at = now - reported.age - digest.age;
        const auto replaced = m_replaced.find(reported.ip);
        if (reported.ip == m_self.ip || now - heard_at > silence_timeout ||
            (replaced != m_replaced.end() && replaced->second == reported.run)) {
            continue;
        }
        auto [entry, is_new] = m_members.try_emplace(reported.ip);
        auto& known = entry->second;
        if (!is_new && heard_at <= known.heard_at) {
            continue;
        }
        if (!is_new && known.run != reported.run) {
            m_replaced[reported.ip] = known.run;
            known = member{};
        }
        known.region = digest.region;
        known.data_center = reported.data_center;
        known.run = reported.run;
        known.capacity = reported.capacity;
        known.state = reported.state;
        known.heard_at = heard_at;
        known.silence_reported = false;
        m_census.note(reported.ip, known.region, known.state, heard_at);
    }
}

std::vector<std::string> roster::region_ips(base::time_point now) const
{
    std::vector<std::string> ips{m_self.ip};
    for (const auto& [ip, peer] : m_members) {
        if (peer.region == m_self.region && is_live(peer, now)) {
            ips.push_back(ip);
        }
    }
    return ips;
}

std::vector<std::string> roster::delegates_of(const region_name& region, base::time_point now) const
{
    std::vector<ranked_vm> ranked;
    const auto add = [&](const std::string& ip, vm_capacity capacity, data_center_hash location) {
        ranked.push_back({-int{capacity.value()}, base::hash_name(ip), ip, location});
    };
    const auto live_only = std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
        return entry.second.region == region && is_live(entry.second, now);
    });
    for (const auto& [ip, peer] : m_members) {
        if (peer.region == region && (!live_only || is_live(peer, now))) {
            add(ip, peer.capacity, peer.data_center);
        }
    }
    if (region == m_self.region) {
        add(m_self.ip, m_self.capacity, hash_of(m_self.data_center));
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_vm& a, const ranked_vm& b) {
        return std::tie(a.rank, a.hash, a.ip) < std::tie(b.rank, b.hash, b.ip);
    });
    prefer_another_data_center(ranked);
    std::vector<std::string> first;
    for (const auto& vm : ranked) {
        if (first.size() < delegate_count) {
            first.push_back(vm.ip);
        }
    }
    return first;
}

bool roster::is_delegate(base::time_point now) const
{
    const auto delegates = delegates_of(m_self.region, now);
    return std::find(delegates.begin(), delegates.end(), m_self.ip) != delegates.end();
}

bool roster::is_due(const std::string& ip, base::milliseconds interval, base::time_point now)
{
    auto [sent, is_new] = m_sent_at.try_emplace(ip, now);
    if (is_new) {
        // Spreads the following heartbeats over the interval: digests to all VMs of a large region
        // at once are more than links and queues can take.
        const auto bits = base::hash_pair(base::hash_name(m_self.ip), base::hash_name(ip));
        sent->second -= base::milliseconds{
            static_cast<std::int64_t>(bits % static_cast<std::uint64_t>(interval.count()))};
        return true;
    }
    if (now - sent->second < interval) {
        return false;
    }
    sent->second = now;
    return true;
}

bool roster::is_alone(base::time_point now) const
{
    return region_ips(now).size() == 1;
}

void roster::add_intra_region(std::vector<due_heartbeat>& due, base::time_point now)
{
    const auto delegates = delegates_of(m_self.region, now);
    const auto is_delegate_ip = [&](const std::string& ip) {
        return std::find(delegates.begin(), delegates.end(), ip) != delegates.end();
    };
    const bool self_is_delegate = is_delegate_ip(m_self.ip);
    const auto count = static_cast<std::int64_t>(region_ips(now).size());
    const auto digest_interval =
        std::clamp(digest_interval_per_vm * count, intra_region_interval, inter_region_interval);
    // Data centers other than this VM's that have a delegate themselves.
    std::vector<data_center_hash> covered_data_centers;
    for (const auto& ip : delegates) {
        const auto* delegate = find(ip);
        if (delegate != nullptr && delegate->data_center != hash_of(m_self.data_center)) {
            covered_data_centers.push_back(delegate->data_center);
        }
    }
    const auto interval_to = [&](const std::string& ip, const member& peer) {
        const bool has_own_delegate =
            std::find(covered_data_centers.begin(), covered_data_centers.end(), peer.data_center) !=
            covered_data_centers.end();
        return has_own_delegate && !is_delegate_ip(ip) ? cross_data_center_digest_interval
                                                       : digest_interval;
    };
    for (const auto& [ip, peer] : m_members) {
        if (peer.region != m_self.region) {
            continue;
        }
        if (!is_live(peer, now)) {
            if (self_is_delegate && is_due(ip, silent_interval, now)) {
                due.push_back({ip, digest_scope::all_regions, false});
            }
        }
        else if (self_is_delegate && is_due(ip, interval_to(ip, peer), now)) {
            due.push_back({ip, digest_scope::all_regions, false});
        }
        else if (!self_is_delegate && is_delegate_ip(ip) &&
                 is_due(ip, intra_region_interval, now)) {
            due.push_back({ip, digest_scope::none, false});
        }
    }
}

void roster::add_inter_region(std::vector<due_heartbeat>& due, base::time_point now)
{
    if (!is_delegate(now)) {
        return;
    }
    for (const auto& region : m_regions) {
        if (region == m_self.region) {
            continue;
        }
        for (const auto& ip : delegates_of(region, now)) {
            const bool live = is_live(m_members.at(ip), now);
            if (is_due(ip, live ? inter_region_interval : silent_interval, now)) {
                due.push_back({ip, digest_scope::own_region, !live});
            }
        }
    }
}

void roster::add_seeds(std::vector<due_heartbeat>& due, base::time_point now)
{
    const bool alone = is_alone(now);
    const bool lacks_region =
        std::any_of(m_regions.begin(), m_regions.end(), [&](const region_name& region) {
            return std::none_of(m_members.begin(), m_members.end(),
                                [&](const auto& entry) {
                                    return entry.second.region == region &&
                                           is_live(entry.second, now);
                                }) &&
                   region != m_self.region;
        });
    if (!alone && !(lacks_region && is_delegate(now))) {
        return;
    }
    // A VM that knows no other of its region sends no digest, which would replace a better one of
    // the same region.
    const auto scope = alone ? digest_scope::none : digest_scope::own_region;
    for (const auto& ip : m_seeds) {
        const auto* known = find(ip);
        const bool live = known != nullptr && is_live(*known, now);
        if (ip != m_self.ip && (alone || !live) &&
            is_due(ip, live ? silent_interval : intra_region_interval, now)) {
            due.push_back({ip, scope, true});
        }
    }
    if (!alone) {
        return;
    }
    for (const auto& [ip, peer] : m_members) {
        if (peer.region == m_self.region && is_due(ip, silent_interval, now)) {
            due.push_back({ip, scope, true});
        }
    }
}

std::vector<due_heartbeat> roster::take_due(base::time_point now)
{
    std::vector<due_heartbeat> due;
    add_intra_region(due, now);
    add_inter_region(due, now);
    add_seeds(due, now);
    return due;
}

std::vector<std::string> roster::tick(base::time_point now)
{
    std::vector<std::string> fell_silent;
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        auto& peer = entry->second;
        if (!is_live(peer, now) && !peer.silence_reported) {
            peer.silence_reported = true;
            fell_silent.push_back(entry->first);
        }
        if (now - peer.heard_at > remove_after) {
            m_sent_at.erase(entry->first);
            entry = m_members.erase(entry);
        }
        else {
            ++entry;
        }
    }
    m_census.expire();
    return fell_silent;
}

const member* roster::find(const std::string& ip) const
{
    const auto found = m_members.find(ip);
    return found == m_members.end() ? nullptr : &found->second;
}

bool roster::is_live(const member& peer, base::time_point now)
{
    return now - peer.heard_at <= silence_timeout;
}

bool roster::takes_requests(const member& peer, base::time_point now)
{
    return peer.state == member_state::ready && is_live(peer, now);
}

std::vector<digest_member> roster::region_members(member_state own_state,
                                                  base::time_point now) const
{
    std::vector<digest_member> reported{{m_self.ip, m_self.run, m_self.capacity, own_state,
                                         base::milliseconds{0}, hash_of(m_self.data_center)}};
    for (const auto& [ip, peer] : m_members) {
        if (peer.region == m_self.region && is_live(peer, now)) {
            const auto age = std::chrono::duration_cast<base::milliseconds>(now - peer.heard_at);
            reported.push_back({ip, peer.run, peer.capacity, peer.state, age, peer.data_center});
        }
    }
    return reported;
}

std::optional<base::milliseconds> roster::round_trip_to(const region_name& region) const
{
    std::optional<base::milliseconds> shortest;
    for (const auto& [ip, peer] : m_members) {
        if (peer.region == region && peer.round_trip &&
            (!shortest || *peer.round_trip < *shortest)) {
            shortest = peer.round_trip;
        }
    }
    return shortest;
}

roster::fleet_size roster::size(base::time_point now) const
{
    fleet_size count;
    for (const auto& [ip, peer] : m_members) {
        const bool live = is_live(peer, now);
        if (live) {
            ++count.live;
        }
        if (live || peer.state != member_state::leaving) {
            ++count.known;
        }
    }
    return count;
}

} // namespace chicorylink::fleet
