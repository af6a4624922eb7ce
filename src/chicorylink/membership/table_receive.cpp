#include "chicorylink/membership/permission.hpp"
#include "chicorylink/membership/table.hpp"

#include <algorithm>

namespace chicorylink::membership {
namespace {

/// Maximum number of earlier processes kept for one address.
constexpr std::size_t max_superseded = 8;

} // namespace

effects table::receive(const message& received, base::time_point now)
{
    effects out;
    if (sender_of(received).vm == m_self_id) {
        return out;
    }
    refresh_permission(now, out);
    std::visit([&](const auto& body) { handle(body, now, out); }, received);
    refresh_permission(now, out);
    return out;
}

peer_record* table::accept(const sender& from, const std::optional<identity>& sender_identity,
                           base::time_point now, effects& out)
{
    auto* peer = find(from.vm);
    if (peer == nullptr) {
        if (!sender_identity || vm_of(*sender_identity) != from.vm) {
            return nullptr;
        }
        peer = &m_peers[from.vm];
        peer->info.id = from.vm;
        peer->info.name = sender_identity->name;
        peer->info.region = sender_identity->region;
        peer->info.data_center = sender_identity->data_center;
        peer->info.caller_address = sender_identity->caller_address;
        peer->info.peer_address = sender_identity->peer_address;
        peer->unlisted_since = now;
        out.events.push_back({event_kind::member_joined, from.vm, from.process, gone_proof::none});
    }
    if (peer->info.process == from.process) {
        if (!peer->fenced) {
            return peer;
        }
        const gone_note note{from.vm, from.process, gone_proof::silent};
        out.send.push_back({from.vm, peer->info.peer_address, gone_notice{self_sender(), {note}}});
        return nullptr;
    }
    if (std::ranges::find(peer->superseded, from.process) != peer->superseded.end()) {
        return nullptr;
    }
    const bool never_heard = peer->info.process == base::incarnation{};
    const bool newer = from.started_ms >= peer->started_ms;
    if (!never_heard && !newer && !is_gone(*peer) && !is_silent(*peer, now)) {
        return nullptr;
    }
    adopt_process(*peer, from.process, from.started_ms, now, out);
    return peer->fenced ? nullptr : peer;
}

void table::adopt_process(peer_record& peer, base::incarnation process, std::uint64_t started_ms,
                          base::time_point now, effects& out)
{
    if (peer.info.process != base::incarnation{}) {
        mark_gone(peer, gone_proof::replaced, now, out);
        peer.superseded.push_back(peer.info.process);
        if (peer.superseded.size() > max_superseded) {
            peer.superseded.erase(peer.superseded.begin());
        }
    }
    for (auto& [id, other] : m_peers) {
        const bool same_address =
            &other != &peer && other.info.peer_address == peer.info.peer_address;
        if (same_address && !is_gone(other) && other.info.process != base::incarnation{}) {
            mark_gone(other, gone_proof::replaced, now, out);
        }
    }
    peer.info.process = process;
    peer.info.proof = gone_proof::none;
    peer.info.config_known = {};
    peer.info.load = {};
    peer.started_ms = started_ms;
    peer.sequence = 0;
    peer.acked_at = {};
    peer.heard = false;
    peer.reported_leaving = false;
    peer.may_act_alone = true;
    const auto fenced = m_fenced_unknown.find(peer.info.id);
    peer.fenced = fenced != m_fenced_unknown.end() && fenced->second == process;
    peer.silence_votes.clear();
    peer.reported = member_state::live;
    m_payloads.erase(peer.info.id);
}

void table::record_contact(peer_record& peer, base::time_point now, effects& out)
{
    if (!peer.heard || is_silent(peer, now)) {
        out.events.push_back(
            {event_kind::member_recovered, peer.info.id, peer.info.process, gone_proof::none});
    }
    peer.heard = true;
    peer.heard_at = now;
    peer.silent_since = now;
    peer.silence_votes.clear();
}

void table::acknowledge(peer_record& peer, std::uint32_t sequence, std::uint32_t process_bits)
{
    if (process_bits != low_bits(m_self.process)) {
        return;
    }
    const auto sent =
        std::ranges::find(m_sent, sequence, [](const auto& entry) { return entry.first; });
    if (sent != m_sent.end()) {
        peer.acked_at = std::max(peer.acked_at, sent->second);
    }
}

void table::handle(const heartbeat& received, base::time_point now, effects& out)
{
    auto* peer = accept(received.from, received.introduction, now, out);
    if (peer == nullptr || received.sequence <= peer->sequence) {
        return;
    }
    peer->sequence = received.sequence;
    record_contact(*peer, now, out);
    acknowledge(*peer, received.ack_sequence, received.ack_process_bits);
    if (received.leaving && !peer->reported_leaving) {
        out.events.push_back(
            {event_kind::member_leaving, peer->info.id, peer->info.process, gone_proof::none});
        m_next_summary = std::min(m_next_summary, now);
    }
    peer->reported_leaving = received.leaving;
    peer->info.config_known = std::max(peer->info.config_known, received.config_known);
    peer->info.reaches_service = received.reaches_service;
    peer->info.load = received.load;
    if (received.list_sequence >= m_list_sequence) {
        peer->may_act_alone = received.region_size <= small_region;
    }
    m_reported_region_size = std::max(m_reported_region_size, received.region_size);
    m_payloads[peer->info.id] = received.payloads;
    apply_notes(received.gone, now, out);
}

void table::handle(const summary& received, base::time_point now, effects& out)
{
    auto* peer = accept(received.from, std::nullopt, now, out);
    if (peer == nullptr) {
        return;
    }
    peer->info.config_known = std::max(peer->info.config_known, received.config_known);
    auto& center = m_data_centers[received.data_center];
    center = {.region = received.region,
              .live_vms = received.live_vms,
              .load = received.load,
              .heard_at = now};
    for (const auto& row : received.rows) {
        apply_row(row, now, out);
    }
    apply_notes(received.gone, now, out);
}

peer_record* table::learn_process(const summary_row& row, base::time_point now, effects& out)
{
    auto* peer = find(row.vm);
    if (peer == nullptr || same_data_center(*peer)) {
        return nullptr;
    }
    const auto& earlier = peer->superseded;
    if (std::ranges::find(earlier, row.process) != earlier.end()) {
        return nullptr;
    }
    if (row.process != base::incarnation{} && row.process != peer->info.process) {
        adopt_process(*peer, row.process, 0, now, out);
    }
    return peer;
}

void table::apply_row(const summary_row& row, base::time_point now, effects& out)
{
    auto* peer = learn_process(row, now, out);
    if (peer == nullptr) {
        return;
    }
    const auto state = row.state == member_state::gone ? member_state::suspect : row.state;
    if (state != peer->reported) {
        m_next_relay = std::min(m_next_relay, now);
    }
    peer->reported = state;
    peer->ever_reported = true;
    if (state == member_state::live || state == member_state::leaving) {
        peer->silent_since = now;
        peer->may_act_alone = peer->may_act_alone && region_size() <= small_region;
    }
}

void table::handle(const relay& received, base::time_point now, effects& out)
{
    auto* peer = accept(received.from, std::nullopt, now, out);
    if (peer == nullptr) {
        return;
    }
    peer->info.config_known = std::max(peer->info.config_known, received.config_known);
    for (const auto& row : received.regions) {
        m_relayed[row.region] = {
            .region = row.region, .live_vms = row.live_vms, .load = row.load, .heard_at = now};
    }
    for (auto& [id, other] : m_peers) {
        other.relayed = member_state::live;
    }
    for (const auto& row : received.exceptions) {
        if (auto* other = learn_process(row, now, out); other != nullptr) {
            other->relayed = row.state;
        }
    }
    apply_notes(received.gone, now, out);
}

void table::handle(const probe& received, base::time_point now, effects& out)
{
    auto* peer = accept(received.from, std::nullopt, now, out);
    if (peer == nullptr) {
        return;
    }
    peer->heard = true;
    peer->silent_since = now;
    if (received.list_sequence >= m_list_sequence) {
        peer->may_act_alone = received.region_size <= small_region;
    }
    out.send.push_back(
        {peer->info.id, peer->info.peer_address,
         probe_ack{self_sender(), received.sequence, low_bits(received.from.process)}});
}

void table::handle(const probe_ack& received, base::time_point now, effects& out)
{
    auto* peer = accept(received.from, std::nullopt, now, out);
    if (peer != nullptr) {
        acknowledge(*peer, received.sequence, received.acked_bits);
    }
}

void table::handle(const gone_notice& received, base::time_point now, effects& out)
{
    apply_notes(received.gone, now, out);
}

void table::apply_notes(const std::vector<gone_note>& notes, base::time_point now, effects& out)
{
    for (const auto& note : notes) {
        if (note.vm == m_self_id) {
            m_must_renew = m_must_renew || note.process == m_self.process;
            continue;
        }
        auto* peer = find(note.vm);
        if (peer == nullptr) {
            m_fenced_unknown[note.vm] = note.process;
            continue;
        }
        if (is_gone(*peer)) {
            continue;
        }
        if (peer->info.process == base::incarnation{}) {
            peer->info.process = note.process;
        }
        if (peer->info.process == note.process) {
            mark_gone(*peer, note.proof, now, out);
        }
    }
}

void table::mark_gone(peer_record& peer, gone_proof proof, base::time_point now, effects& out)
{
    if (is_gone(peer)) {
        return;
    }
    peer.info.proof = proof;
    peer.fenced = true;
    peer.gone_at = now;
    m_next_summary = std::min(m_next_summary, now);
    m_next_relay = std::min(m_next_relay, now);
    out.events.push_back({event_kind::member_gone, peer.info.id, peer.info.process, proof});
}

effects table::connection_refused(base::vm_id vm, base::incarnation process, base::time_point now)
{
    effects out;
    auto* peer = find(vm);
    const bool known = process != base::incarnation{};
    if (peer != nullptr && known && peer->info.process == process && !is_gone(*peer)) {
        mark_gone(*peer, gone_proof::refused, now, out);
        m_next_heartbeat = std::min(m_next_heartbeat, now);
    }
    return out;
}

} // namespace chicorylink::membership
