#include "chicorylink/membership/table.hpp"

#include "chicorylink/membership/permission.hpp"

#include <algorithm>
#include <set>

namespace chicorylink::membership {
namespace {

/// Up to this many peers in the data center, and this many other data centers, the configured
/// intervals apply unchanged.
constexpr std::int64_t mesh_base = 10;
constexpr std::int64_t summary_base = 6;

} // namespace

table::table(identity self, timing terms, base::time_point now)
    : m_self(std::move(self)), m_self_id(vm_of(m_self)), m_timing(terms), m_started(now),
      m_last_tick(now), m_next_heartbeat(now), m_next_summary(now), m_next_relay(now),
      m_next_probe(now), m_next_pause_decay(now)
{
}

effects table::on_list(const platform_list& list, base::time_point requested_at,
                       base::time_point now)
{
    effects out;
    refresh_permission(now, out);
    const auto created_at = requested_at - list.age;
    if (list.sequence < m_list_sequence) {
        return out;
    }
    const auto skipped = m_list_sequence == 0 ? 0 : list.sequence - m_list_sequence;
    const auto old_size = region_size();
    m_list_sequence = list.sequence;
    m_list_created_at = std::max(m_list_created_at.value_or(created_at), created_at);
    m_listed = false;
    for (const auto& each : list.vms) {
        if (base::id_of<base::vm_id>(each.name) != m_self_id) {
            apply_listed(each, now, out);
            continue;
        }
        m_listed = true;
        m_leaving = m_leaving || each.leaving;
        m_list_proof = std::max(m_list_proof.value_or(created_at), created_at);
    }
    mark_unlisted(list, now);
    allow_acting_alone(std::min(old_size, region_size()), skipped);
    refresh_permission(now, out);
    return out;
}

void table::apply_listed(const listed_vm& listed, base::time_point now, effects& out)
{
    const auto id = base::id_of<base::vm_id>(listed.name);
    const auto [position, added] = m_peers.try_emplace(id);
    auto& peer = position->second;
    if (added) {
        peer.info.id = id;
        peer.heard_at = now;
        peer.silent_since = now;
        out.events.push_back({event_kind::member_joined, id, {}, gone_proof::none});
    }
    peer.info.name = listed.name;
    peer.info.region = listed.region;
    peer.info.data_center = listed.data_center;
    peer.info.caller_address = listed.caller_address;
    peer.info.peer_address = listed.peer_address;
    if (listed.leaving && !peer.listed_leaving) {
        out.events.push_back({event_kind::member_leaving, id, peer.info.process, gone_proof::none});
    }
    peer.listed = true;
    peer.listed_leaving = listed.leaving;
}

void table::mark_unlisted(const platform_list& list, base::time_point now)
{
    std::vector<base::vm_id> ids;
    ids.reserve(list.vms.size());
    for (const auto& each : list.vms) {
        ids.push_back(base::id_of<base::vm_id>(each.name));
    }
    std::ranges::sort(ids);
    for (auto& [id, peer] : m_peers) {
        const bool shown = std::ranges::binary_search(ids, id);
        if (peer.listed && !shown) {
            peer.listed = false;
            peer.unlisted_since = now;
        }
    }
}

void table::allow_acting_alone(std::size_t size, std::uint64_t lists)
{
    // A VM relies on lists that show it. Each step of the sequence changes one VM; a skipped list
    // may have shown fewer VMs than this one, or different ones.
    const auto skipped = lists == 0 ? 0 : lists - 1;
    if (size > small_region + skipped) {
        return;
    }
    for (auto& [id, peer] : m_peers) {
        const bool affected = same_region(peer) && (peer.listed || skipped > 0);
        peer.may_act_alone = peer.may_act_alone || affected;
    }
}

std::size_t table::region_size() const
{
    if (!m_list_created_at) {
        return m_reported_region_size;
    }
    const auto others = std::ranges::count_if(m_peers, [this](const auto& entry) {
        return entry.second.listed && same_region(entry.second);
    });
    return static_cast<std::size_t>(others) + 1;
}

bool table::list_is_fresh(base::time_point now) const
{
    return m_list_created_at && now - *m_list_created_at <= m_timing.list_freshness;
}

void table::refresh_permission(base::time_point now, effects& out)
{
    if (m_member_until != base::time_point{} && now > m_member_until && !m_lapsed_at) {
        m_lapsed_at = m_member_until;
        out.events.push_back(
            {event_kind::membership_lapsed, m_self_id, m_self.process, gone_proof::none});
    }
    if (m_must_renew) {
        return;
    }
    membership_proofs proofs{.list_proof = m_list_proof,
                             .listed = m_listed,
                             .region_size = region_size(),
                             .started = m_started,
                             .lapsed_at = m_lapsed_at};
    for (const auto& [id, peer] : m_peers) {
        const bool votes = same_region(peer) && (peer.listed || !m_list_created_at);
        if (votes && peer.acked_at != base::time_point{}) {
            proofs.acks.push_back(peer.acked_at);
        }
    }
    const auto until = permitted_until(proofs, m_timing);
    if (until && *until > now) {
        m_member_until = std::max(m_member_until, *until);
        m_lapsed_at.reset();
    }
}

effects table::set_leaving(base::time_point now)
{
    effects out;
    m_leaving = true;
    m_next_heartbeat = now;
    send_heartbeats(now, out);
    send_summaries(now, out);
    return out;
}

void table::set_payload(payload content)
{
    std::erase_if(m_own_payloads, [&](const payload& each) { return each.slot == content.slot; });
    if (!content.content.empty()) {
        m_own_payloads.push_back(std::move(content));
    }
}

std::span<const std::uint8_t> table::payload_of(base::vm_id vm, std::uint8_t slot) const
{
    const auto position = m_payloads.find(vm);
    if (position == m_payloads.end()) {
        return {};
    }
    const auto found = std::ranges::find(position->second, slot, &payload::slot);
    return found == position->second.end() ? std::span<const std::uint8_t>{}
                                           : std::span<const std::uint8_t>{found->content};
}

void table::renew(base::incarnation process, std::uint64_t started_ms, base::time_point now)
{
    m_self.process = process;
    m_self.started_ms = started_ms;
    m_must_renew = false;
    m_member_until = {};
    m_lapsed_at.reset();
    m_started = now;
    m_list_proof.reset();
    m_sent.clear();
    for (auto& [id, peer] : m_peers) {
        peer.acked_at = {};
    }
    m_next_heartbeat = now;
}

view table::current(base::time_point now) const
{
    view snapshot;
    snapshot.self = m_self_id;
    snapshot.member_until = m_must_renew ? base::time_point{} : m_member_until;
    snapshot.list_is_fresh = list_is_fresh(now);
    snapshot.resumed_at = m_resumed_at;
    snapshot.members.reserve(m_peers.size() + 1);
    for (const auto& [id, peer] : m_peers) {
        snapshot.members.push_back(peer.info);
        snapshot.members.back().state = state_of(peer, now);
    }
    const member own{.id = m_self_id,
                     .name = m_self.name,
                     .region = m_self.region,
                     .data_center = m_self.data_center,
                     .caller_address = m_self.caller_address,
                     .peer_address = m_self.peer_address,
                     .process = m_self.process,
                     .state = m_leaving ? member_state::leaving : member_state::live,
                     .config_known = m_config_known,
                     .reaches_service = m_reaches_service,
                     .load = m_load};
    const auto position = std::ranges::lower_bound(snapshot.members, m_self_id, {}, &member::id);
    snapshot.members.insert(position, own);
    snapshot.regions = region_summaries();
    return snapshot;
}

member_state table::state_of(const peer_record& peer, base::time_point now) const
{
    if (is_gone(peer)) {
        return member_state::gone;
    }
    const bool leaving = peer.listed_leaving || peer.reported_leaving;
    if (same_data_center(peer)) {
        if (!peer.heard || is_silent(peer, now)) {
            return leaving && peer.listed ? member_state::leaving : member_state::suspect;
        }
        return leaving ? member_state::leaving : member_state::live;
    }
    if (leaving) {
        return member_state::leaving;
    }
    if (peer.reported != member_state::live && has_direct_summaries(peer.info.data_center, now)) {
        return peer.reported;
    }
    if (peer.relayed != member_state::live) {
        return peer.relayed;
    }
    return peer.listed || peer.ever_reported ? member_state::live : member_state::suspect;
}

bool table::is_silent(const peer_record& peer, base::time_point now) const
{
    return now - peer.heard_at > suspicion_time();
}

base::milliseconds table::heartbeat_interval() const
{
    return m_timing.heartbeat * std::max(m_mesh_peers, mesh_base) / mesh_base;
}

void table::count_mesh_peers()
{
    m_mesh_peers = std::ranges::count_if(m_peers, [this](const auto& entry) {
        return same_data_center(entry.second) && !is_gone(entry.second);
    });
}

base::milliseconds table::suspicion_time() const
{
    const auto missed =
        m_timing.suspicion * heartbeat_interval().count() / m_timing.heartbeat.count();
    return missed * (1 + m_recent_pauses);
}

base::milliseconds table::summary_interval() const
{
    const auto centers = static_cast<std::int64_t>(m_data_centers.size());
    return m_timing.summary * std::max(centers, summary_base) / summary_base;
}

bool table::same_data_center(const peer_record& peer) const
{
    return peer.info.data_center == m_self.data_center;
}

bool table::same_region(const peer_record& peer) const
{
    return peer.info.region == m_self.region;
}

sender table::self_sender() const
{
    return {.vm = m_self_id, .process = m_self.process, .started_ms = m_self.started_ms};
}

peer_record* table::find(base::vm_id vm)
{
    const auto position = m_peers.find(vm);
    return position == m_peers.end() ? nullptr : &position->second;
}

base::incarnation table::process_of(base::vm_id vm) const
{
    const auto position = m_peers.find(vm);
    return position == m_peers.end() ? base::incarnation{} : position->second.info.process;
}

bool table::has_direct_summaries(base::data_center_id center, base::time_point now) const
{
    const auto position = m_data_centers.find(center);
    constexpr int missed_summaries = 3;
    return position != m_data_centers.end() &&
           now - position->second.heard_at <= missed_summaries * summary_interval();
}

std::vector<region_summary> table::region_summaries() const
{
    auto regions = m_relayed;
    std::set<base::region_id> direct;
    for (const auto& [id, center] : m_data_centers) {
        auto& sum = regions[center.region];
        if (direct.insert(center.region).second) {
            sum = {.region = center.region};
        }
        sum.live_vms += center.live_vms;
        sum.load.running += center.load.running;
        sum.load.waiting += center.load.waiting;
        sum.heard_at = std::max(sum.heard_at, center.heard_at);
    }
    std::vector<region_summary> summaries;
    for (const auto& [id, sum] : regions) {
        if (id != m_self.region) {
            summaries.push_back(sum);
        }
    }
    return summaries;
}

} // namespace chicorylink::membership
