#include "chicorylink/membership/rendezvous.hpp"
#include "chicorylink/membership/table.hpp"

#include <algorithm>
#include <set>

namespace chicorylink::membership {
namespace {

/// Number of rounds whose send time is kept, to match acknowledgements.
constexpr std::size_t max_sent_rounds = 64;
/// A gone VM gets one heartbeat in this many rounds, in case it returns.
constexpr std::uint32_t gone_heartbeat_period = 5;
/// One summary in this many holds all rows even if they are unchanged.
constexpr std::uint64_t full_summary_period = 8;
constexpr int max_recent_pauses = 4;
constexpr base::milliseconds pause_decay_interval{10'000};

bool same_rows(const std::vector<summary_row>& a, const std::vector<summary_row>& b)
{
    return std::ranges::equal(a, b, [](const summary_row& left, const summary_row& right) {
        return left.vm == right.vm && left.process == right.process && left.state == right.state;
    });
}

summary_row row_of(const member& source)
{
    return {.vm = source.id, .process = source.process, .state = source.state};
}

} // namespace

effects table::tick(base::time_point now)
{
    effects out;
    refresh_permission(now, out);
    detect_pause(now, out);
    count_mesh_peers();
    report_suspicions(now, out);
    if (now >= m_next_heartbeat) {
        send_heartbeats(now, out);
    }
    if (now >= m_next_summary) {
        send_summaries(now, out);
    }
    if (now >= m_next_relay) {
        send_relay(now, out);
    }
    if (now >= m_next_probe) {
        m_next_probe = now + m_timing.probe;
        send_probes(now, out);
        check_silent_peers(now, out);
        remove_expired(now);
    }
    m_last_tick = now;
    return out;
}

void table::detect_pause(base::time_point now, effects& out)
{
    const auto gap = now - m_last_tick;
    if (gap > m_timing.pause) {
        m_resumed_at = now;
        m_recent_pauses = std::min(m_recent_pauses + 1, max_recent_pauses);
        m_next_pause_decay = now + pause_decay_interval;
        for (auto& [id, peer] : m_peers) {
            peer.heard_at += gap;
        }
        out.events.push_back(
            {event_kind::woke_from_pause, m_self_id, m_self.process, gone_proof::none});
    }
    if (m_recent_pauses > 0 && now >= m_next_pause_decay) {
        --m_recent_pauses;
        m_next_pause_decay = now + pause_decay_interval;
    }
}

void table::report_suspicions(base::time_point now, effects& out)
{
    for (const auto& [id, peer] : m_peers) {
        if (!same_data_center(peer) || !peer.heard || is_gone(peer)) {
            continue;
        }
        const auto silence = now - peer.heard_at;
        const auto silence_before = m_last_tick - peer.heard_at;
        const auto timeout = suspicion_time();
        if (silence > timeout && silence_before <= timeout) {
            out.events.push_back(
                {event_kind::member_suspected, id, peer.info.process, gone_proof::none});
            m_next_summary = std::min(m_next_summary, now);
        }
    }
}

std::vector<gone_note> table::recent_gone(base::time_point now) const
{
    std::vector<gone_note> notes;
    for (const auto& [id, peer] : m_peers) {
        if (is_gone(peer) && now - peer.gone_at <= m_timing.gone_repeat) {
            notes.push_back({id, peer.info.process, peer.info.proof});
        }
    }
    return notes;
}

heartbeat table::heartbeat_for(const peer_record& peer, base::time_point now) const
{
    heartbeat beat{.from = self_sender(),
                   .sequence = m_sequence,
                   .config_known = m_config_known,
                   .list_sequence = m_list_sequence,
                   .region_size = static_cast<std::uint16_t>(region_size()),
                   .leaving = m_leaving,
                   .reaches_service = m_reaches_service,
                   .load = m_load,
                   .gone = recent_gone(now),
                   .payloads = m_own_payloads};
    if (!peer.fenced) {
        beat.ack_sequence = peer.sequence;
        beat.ack_process_bits = low_bits(peer.info.process);
    }
    // Lets a restarted process that can't reach the list learn of this VM.
    if (now - peer.acked_at > suspicion_time()) {
        beat.introduction = m_self;
    }
    return beat;
}

void table::send_heartbeats(base::time_point now, effects& out)
{
    m_next_heartbeat = now + heartbeat_interval();
    ++m_sequence;
    m_sent.emplace_back(m_sequence, now);
    if (m_sent.size() > max_sent_rounds) {
        m_sent.pop_front();
    }
    for (const auto& [id, peer] : m_peers) {
        const bool due = !is_gone(peer) || m_sequence % gone_heartbeat_period == 0;
        if (same_data_center(peer) && due) {
            out.send.push_back({id, peer.info.peer_address, heartbeat_for(peer, now)});
        }
    }
}

summary table::own_summary(const view& snapshot) const
{
    summary own{.from = self_sender(),
                .region = m_self.region,
                .data_center = m_self.data_center,
                .config_known = m_config_known};
    for (const auto& each : snapshot.members) {
        if (each.data_center != m_self.data_center) {
            continue;
        }
        own.rows.push_back(row_of(each));
        own.live_vms = static_cast<std::uint16_t>(own.live_vms + (takes_work(each) ? 1 : 0));
        own.load.running += each.load.running;
        own.load.waiting += each.load.waiting;
    }
    return own;
}

std::vector<base::vm_id> table::summary_receivers(const view& snapshot) const
{
    const auto delegates = delegates_of(snapshot, m_self.data_center);
    const auto position = std::ranges::find(delegates, m_self_id);
    if (position == delegates.end()) {
        return {};
    }
    std::set<base::data_center_id> centers;
    for (const auto& each : snapshot.members) {
        if (each.data_center != m_self.data_center) {
            centers.insert(each.data_center);
        }
    }
    // The delegates of two data centers exchange summaries in pairs of equal rank.
    const auto rank = static_cast<std::size_t>(position - delegates.begin());
    std::vector<base::vm_id> receivers;
    for (const auto center : centers) {
        const auto others = delegates_of(snapshot, center);
        for (std::size_t i = 0; i < others.size(); ++i) {
            if (delegates.size() == 1 || i == std::min(rank, others.size() - 1)) {
                receivers.push_back(others[i]);
            }
        }
    }
    return receivers;
}

void table::send_summaries(base::time_point now, effects& out)
{
    m_next_summary = now + summary_interval();
    // A new process has not heard from all of its data center yet and would report VMs as silent.
    if (now - m_started < m_timing.suspicion) {
        return;
    }
    const auto snapshot = current(now);
    auto receivers = summary_receivers(snapshot);
    auto own = own_summary(snapshot);
    own.complete = receivers != m_last_receivers || !same_rows(own.rows, m_last_rows) ||
                   m_summary_round % full_summary_period == 0;
    ++m_summary_round;
    m_last_rows = own.rows;
    if (!own.complete) {
        own.rows.clear();
    }
    own.gone = recent_gone(now);
    for (const auto id : receivers) {
        out.send.push_back({id, find(id)->info.peer_address, own});
    }
    m_last_receivers = std::move(receivers);
}

relay table::own_relay(base::time_point now) const
{
    relay own{.from = self_sender(), .config_known = m_config_known, .gone = recent_gone(now)};
    for (const auto& each : region_summaries()) {
        own.regions.push_back({.region = each.region,
                               .live_vms = static_cast<std::uint16_t>(each.live_vms),
                               .load = each.load});
    }
    for (const auto& [id, peer] : m_peers) {
        const bool not_live = peer.reported != member_state::live && !is_gone(peer);
        if (!same_data_center(peer) && not_live &&
            has_direct_summaries(peer.info.data_center, now)) {
            own.exceptions.push_back({id, peer.info.process, peer.reported});
        }
    }
    return own;
}

void table::send_relay(base::time_point now, effects& out)
{
    m_next_relay = now + 2 * summary_interval();
    if (m_data_centers.empty()) {
        return;
    }
    const auto delegates = delegates_of(current(now), m_self.data_center);
    if (std::ranges::find(delegates, m_self_id) == delegates.end()) {
        return;
    }
    const auto own = own_relay(now);
    for (const auto& [id, peer] : m_peers) {
        if (same_data_center(peer) && !is_gone(peer)) {
            out.send.push_back({id, peer.info.peer_address, own});
        }
    }
}

void table::send_probes(base::time_point now, effects& out)
{
    if (list_is_fresh(now)) {
        return;
    }
    ++m_sequence;
    m_sent.emplace_back(m_sequence, now);
    const probe request{.from = self_sender(),
                        .sequence = m_sequence,
                        .list_sequence = m_list_sequence,
                        .region_size = static_cast<std::uint16_t>(region_size())};
    for (const auto& [id, peer] : m_peers) {
        if (same_region(peer) && !same_data_center(peer) && !is_gone(peer)) {
            out.send.push_back({id, peer.info.peer_address, request});
        }
    }
}

void table::remove_expired(base::time_point now)
{
    std::erase_if(m_data_centers,
                  [&](const auto& entry) { return !has_direct_summaries(entry.first, now); });
    std::erase_if(m_peers, [&](const auto& entry) {
        const auto& peer = entry.second;
        const bool long_gone = is_gone(peer) && now - peer.gone_at > m_timing.gone_retention;
        const bool remote = !same_region(peer) && !peer.ever_reported;
        const bool long_unlisted = now - peer.unlisted_since > m_timing.gone_retention;
        const bool forgotten = !peer.listed && (long_gone || (remote && long_unlisted));
        if (forgotten) {
            m_payloads.erase(entry.first);
        }
        return forgotten;
    });
}

} // namespace chicorylink::membership
