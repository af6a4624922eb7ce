#include "chicorylink/budget/slot_table.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::budget {

slot_table::slot_table(identity self, const settings& budget_settings, base::time_point start)
    : m_self(self), m_settings(budget_settings), m_started(start), m_intended_since(start),
      m_fresh_since(start), m_claim_delay(budget_settings.claim_timeout)
{
}

void slot_table::update_peer(const membership::member& reported, base::time_point now,
                             std::vector<process_id>& gone)
{
    const auto known = m_peers.find(reported.id);
    if (known == m_peers.end()) {
        m_peers.emplace(reported.id,
                        peer{reported.process, reported.peer_address, reported.state, now});
        claim_soon();
        return;
    }
    auto& known_peer = known->second;
    const bool replaced =
        known_peer.process != base::incarnation{} && known_peer.process != reported.process;
    if (replaced) {
        const process_id old{reported.id, known_peer.process};
        m_transfer_decisions.erase(known_peer.process);
        if (known_peer.address == reported.peer_address ||
            known_peer.state == membership::member_state::gone) {
            // A new process at the same address proves that the old one ended.
            gone.push_back(old);
        }
        else {
            m_unconfirmed_exits.push_back({old, now + with_drift_margin(m_settings.settle_time)});
        }
        known_peer.known_since = now;
        claim_soon();
    }
    const bool now_gone = reported.state == membership::member_state::gone &&
                          known_peer.state != membership::member_state::gone;
    if (now_gone) {
        gone.push_back({reported.id, reported.process});
        claim_soon();
    }
    known_peer.process = reported.process;
    known_peer.address = reported.peer_address;
    known_peer.state = reported.state;
}

void slot_table::on_view(const membership::view& members, const slot_owners& intended,
                         base::time_point now, std::vector<process_id>& gone)
{
    if (members.list_is_fresh && !m_list_is_fresh) {
        m_fresh_since = now;
    }
    m_list_is_fresh = members.list_is_fresh;
    std::set<base::vm_id> present;
    for (const auto& each : members.members) {
        if (each.region == m_self.region && each.id != m_self.vm) {
            present.insert(each.id);
            update_peer(each, now, gone);
        }
    }
    std::erase_if(m_peers, [&](const auto& entry) {
        const auto& [vm, known_peer] = entry;
        if (present.contains(vm)) {
            return false;
        }
        if (known_peer.state != membership::member_state::gone) {
            m_unconfirmed_exits.push_back(
                {{vm, known_peer.process}, now + with_drift_margin(m_settings.settle_time)});
            claim_soon();
        }
        return true;
    });
    if (intended != m_intended) {
        m_intended = intended;
        m_intended_since = now;
        claim_soon();
    }
    drop_undeliverable();
}

void slot_table::claim_soon()
{
    m_claim.reset();
    m_next_claim = {};
    m_claim_delay = m_settings.claim_timeout;
}

void slot_table::drop_undeliverable()
{
    // The receiving process is gone: whether or not it accepted the slots, they have no owner.
    std::erase_if(m_outgoing, [this](const auto& entry) {
        const auto& transfer = entry.second;
        const auto to = m_peers.find(transfer.to);
        return to != m_peers.end() &&
               (to->second.process != transfer.body.to ||
                to->second.state == membership::member_state::gone) &&
               std::ranges::none_of(m_unconfirmed_exits, [&](const unconfirmed_exit& each) {
                   return each.left_process == process_id{transfer.to, transfer.body.to};
               });
    });
}

void slot_table::clear(base::time_point now)
{
    m_owned.reset();
    m_outgoing.clear();
    m_claim.reset();
    m_claimed_in.fill(0);
    m_started = now;
    m_fresh_since = now;
}

bool slot_table::promised_away(std::size_t slot, base::time_point now) const
{
    return m_promises[slot].until > now;
}

slot_set slot_table::in_transfer() const
{
    slot_set slots;
    for (const auto& [id, transfer] : m_outgoing) {
        for (const auto& each : transfer.body.slots) {
            slots.set(each.slot);
        }
    }
    return slots;
}

void slot_table::take(const slot_set& slots, base::time_point now)
{
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (slots.test(slot)) {
            m_origins[slot] = {now, now + with_drift_margin(m_settings.loan_term)};
        }
    }
    m_owned |= slots;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        m_claimed_in[slot] = slots.test(slot) ? 0 : m_claimed_in[slot];
    }
}

std::optional<claim> slot_table::begin_claim(base::time_point now, bool permitted)
{
    if (m_claim && now - m_claim->started >= m_settings.claim_timeout) {
        m_claim.reset();
    }
    std::erase_if(m_unconfirmed_exits,
                  [now](const unconfirmed_exit& each) { return each.until <= now; });
    if (m_claim || now < m_next_claim || !permitted || m_draining || !m_list_is_fresh ||
        !m_unconfirmed_exits.empty()) {
        return std::nullopt;
    }
    slot_set wanted;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        wanted.set(slot, m_intended[slot] == m_self.vm && !promised_away(slot, now));
    }
    wanted &= ~m_owned & ~in_transfer();
    const auto recipients = claim_recipients();
    const bool settled = now - m_started >= with_drift_margin(m_settings.settle_time);
    if (wanted.none() || (recipients.empty() && !settled)) {
        return std::nullopt;
    }
    claim_round round{++m_last_number, wanted, now, {}, settled, false};
    round.waiting_for.insert(recipients.begin(), recipients.end());
    m_claim = round;
    m_claimed_at = now;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        m_claimed_in[slot] = wanted.test(slot) ? round.number : 0;
    }
    m_next_claim = now + m_claim_delay;
    m_claim_delay = std::min(m_claim_delay * 2, m_settings.max_claim_delay);
    return claim{round.number, wanted};
}

std::vector<base::vm_id> slot_table::claim_recipients() const
{
    std::vector<base::vm_id> recipients;
    for (const auto& [vm, known_peer] : m_peers) {
        if (known_peer.state != membership::member_state::gone) {
            recipients.push_back(vm);
        }
    }
    return recipients;
}

claim_answer slot_table::answer_claim(const process_id& from, const claim& request,
                                      base::time_point now)
{
    claim_answer answer;
    answer.round = request.round;
    answer.denied = request.slots & (m_owned | in_transfer());
    answer.vouched = m_list_is_fresh &&
                     now - m_fresh_since >= with_drift_margin(m_settings.settle_time) &&
                     now - m_started >= with_drift_margin(m_settings.settle_time);
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (!request.slots.test(slot) || answer.denied.test(slot)) {
            continue;
        }
        const bool to_another = promised_away(slot, now) && m_promises[slot].to != from.vm;
        const bool own_claim = m_claim && m_claim->slots.test(slot);
        const bool outranked = own_claim && base::hash_pair(slot + 1, m_self.vm.value()) >
                                                base::hash_pair(slot + 1, from.vm.value());
        if (to_another || outranked) {
            answer.denied.set(slot);
            continue;
        }
        if (own_claim) {
            m_claim->slots.reset(slot);
        }
        m_claimed_in[slot] = 0;
        m_promises[slot] = {from.vm, now + with_drift_margin(m_settings.promise_term)};
    }
    return answer;
}

slot_set slot_table::on_claim_answer(base::vm_id from, const claim_answer& answer,
                                     base::config_version own_version, base::time_point now)
{
    if (!m_claim || m_claim->number != answer.round) {
        return {};
    }
    m_claim->slots &= ~answer.denied;
    m_claim->vouched = m_claim->vouched || answer.vouched;
    // A VM with an older rulebook may know a split that this VM has never seen.
    m_claim->deferred = m_claim->deferred ||
                        (answer.version != base::config_version{} && answer.version < own_version);
    m_claim->waiting_for.erase(from);
    return finish_claim(now);
}

slot_set slot_table::finish_claim(base::time_point now)
{
    if (!m_claim || !m_claim->waiting_for.empty()) {
        return {};
    }
    const auto round = *std::exchange(m_claim, std::nullopt);
    const bool in_time = now - round.started < m_settings.claim_timeout;
    if (!in_time || !round.vouched || round.deferred || m_draining) {
        return {};
    }
    take(round.slots, now);
    return round.slots;
}

slot_set slot_table::slots_to_transfer(const process_id& claimant, const claim& request,
                                       base::time_point now) const
{
    const auto to = m_peers.find(claimant.vm);
    const bool known = to != m_peers.end() && to->second.state == membership::member_state::live &&
                       to->second.process == claimant.process &&
                       now - to->second.known_since >= with_drift_margin(m_settings.settle_time);
    const bool stable = now - m_intended_since >= m_settings.move_delay;
    slot_set transferred;
    for (std::size_t slot = 0; known && slot < slot_count; ++slot) {
        const bool intended = stable && m_intended[slot] == claimant.vm;
        transferred.set(slot,
                        m_owned.test(slot) && request.slots.test(slot) && (intended || m_draining));
    }
    return transferred;
}

slot_transfer& slot_table::begin_transfer(const process_id& to, std::uint64_t round,
                                          const slot_set& slots, base::time_point now)
{
    const auto id = ++m_last_number;
    pending_transfer transfer{to.vm, {}, now};
    transfer.body.id = id;
    transfer.body.round = round;
    transfer.body.to = to.process;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (slots.test(slot)) {
            // The age is shortened and the remaining loan time lengthened to allow for clock drift.
            const auto age = now - m_origins[slot].minting_since;
            const auto left =
                std::max(m_origins[slot].quarantined_until - now, base::time_point::duration{0});
            transfer.body.slots.push_back({static_cast<std::uint16_t>(slot),
                                           age * minted_per_mille / 1000, with_drift_margin(left)});
        }
    }
    m_owned &= ~slots;
    return m_outgoing.emplace(id, std::move(transfer)).first->second.body;
}

transfer_answer slot_table::on_transfer(const process_id& from, const slot_transfer& moved,
                                        bool permitted, base::time_point now)
{
    if (const auto known = m_transfer_decisions[from.process].find(moved.id);
        known != m_transfer_decisions[from.process].end()) {
        return {moved.id, known->second};
    }
    const bool requested = now - m_claimed_at < m_settings.transfer_term &&
                           std::ranges::all_of(moved.slots, [&](const moved_slot& each) {
                               return each.slot < slot_count && !m_owned.test(each.slot) &&
                                      m_claimed_in[each.slot] == moved.round && moved.round != 0;
                           });
    const bool accepted = requested && permitted && !m_draining && moved.to == m_self.process;
    m_transfer_decisions[from.process].emplace(moved.id, accepted);
    if (!accepted) {
        return {moved.id, false};
    }
    for (const auto& each : moved.slots) {
        m_origins[each.slot] = {now - each.age, now + each.quarantine};
        m_owned.set(each.slot);
        m_claimed_in[each.slot] = 0;
        if (m_claim) {
            m_claim->slots.reset(each.slot);
        }
    }
    return {moved.id, true};
}

std::optional<slot_transfer> slot_table::on_transfer_answer(const process_id& from,
                                                            const transfer_answer& answer,
                                                            base::config_version own_version,
                                                            base::time_point now)
{
    const auto known = m_outgoing.find(answer.id);
    if (known == m_outgoing.end() || known->second.to != from.vm ||
        known->second.body.to != from.process) {
        return std::nullopt;
    }
    auto body = std::move(known->second.body);
    m_outgoing.erase(known);
    if (answer.accepted) {
        return std::nullopt;
    }
    const bool outdated = body.version < own_version;
    if (outdated) {
        body.balances.clear();
    }
    for (const auto& each : body.slots) {
        const auto minting_since = outdated ? now : now - each.age;
        const auto quarantine =
            outdated ? with_drift_margin(m_settings.loan_term) : each.quarantine;
        m_origins[each.slot] = {minting_since, now + quarantine};
        m_owned.set(each.slot);
    }
    m_intended_since = now;
    return body;
}

std::vector<outgoing> slot_table::resend(base::time_point now)
{
    std::vector<outgoing> messages;
    for (auto& [id, transfer] : m_outgoing) {
        if (now - transfer.sent_at >= m_settings.resend_interval) {
            transfer.sent_at = now;
            messages.push_back({transfer.to, transfer.body});
        }
    }
    return messages;
}

} // namespace chicorylink::budget
