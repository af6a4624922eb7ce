#include "chicorylink/budget/engine.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace chicorylink::budget {

effects engine::on_message(base::vm_id from, base::incarnation process, const message& body,
                           base::time_point now)
{
    effects result;
    std::visit([&](const auto& each) { handle({from, process}, each, now, result); }, body);
    return result;
}

void engine::handle(const process_id& from, const claim& body, base::time_point now,
                    effects& result)
{
    const std::lock_guard guard(m_lock);
    auto answer = m_slots.answer_claim(from, body, now);
    answer.version = m_book ? m_book->version() : base::config_version{};
    answer.held = m_versions.held();
    const auto promised = body.slots & ~answer.denied;
    for (auto& each : m_shards) {
        const std::lock_guard shard_guard(each->lock);
        each->accounts.drop_loans(promised, *each->current_context);
    }
    result.messages.push_back({from.vm, answer});
    hand_over_slots(from, body, now, result);
}

void engine::hand_over_slots(const process_id& to, const claim& request, base::time_point now,
                             effects& result)
{
    const auto slots = m_slots.slots_to_transfer(to, request, now);
    if (slots.none()) {
        return;
    }
    auto& transfer = m_slots.begin_transfer(to, request.round, slots, now);
    transfer.version = m_book ? m_book->version() : base::config_version{};
    transfer.held = m_versions.held();
    m_last_context += 2;
    const std::shared_ptr<const context> next = next_context();
    for (auto& each : m_shards) {
        const std::lock_guard guard(each->lock);
        each->accounts.detach(slots, *each->current_context, now, transfer.balances);
        each->current_context = next;
    }
    result.messages.push_back({to.vm, transfer});
}

void engine::handle(const process_id& from, const claim_answer& body, base::time_point now,
                    effects& /*result*/)
{
    const std::lock_guard guard(m_lock);
    const auto own_version = m_book ? m_book->version() : base::config_version{};
    const auto claimed = m_slots.on_claim_answer(from.vm, body, own_version, now);
    add_held_splits(body.held, body.version);
    if (!body.held.empty()) {
        publish(now);
    }
    attach_slots(claimed, {}, now);
}

void engine::handle(const process_id& from, const slot_transfer& body, base::time_point now,
                    effects& result)
{
    const std::lock_guard guard(m_lock);
    const auto own_version = m_book ? m_book->version() : base::config_version{};
    const bool permitted = may_spend(now) && body.version >= own_version;
    const auto before = m_slots.owned();
    const auto answer = m_slots.on_transfer(from, body, permitted, now);
    const auto gained = m_slots.owned() & ~before;
    if (gained.any()) {
        add_held_splits(body.held, body.version);
        attach_slots(gained, body.balances, now);
    }
    result.messages.push_back({from.vm, answer});
}

void engine::handle(const process_id& from, const transfer_answer& body, base::time_point now,
                    effects& /*result*/)
{
    const std::lock_guard guard(m_lock);
    const auto own_version = m_book ? m_book->version() : base::config_version{};
    const auto before = m_slots.owned();
    const auto returned = m_slots.on_transfer_answer(from, body, own_version, now);
    if (returned) {
        attach_slots(m_slots.owned() & ~before, returned->balances, now);
    }
}

void engine::handle(const process_id& from, const loan_request& body, base::time_point now,
                    effects& result)
{
    if (!may_spend(now)) {
        return;
    }
    auto& team_shard = shard_of(body.team);
    const std::lock_guard guard(team_shard.lock);
    team_shard.accounts.on_request(from, body, *team_shard.current_context, now, result);
}

void engine::handle(const process_id& from, const loan_grant& body, base::time_point now,
                    effects& result)
{
    auto& team_shard = shard_of(body.team);
    const std::lock_guard guard(team_shard.lock);
    team_shard.accounts.on_grant(from, body, *team_shard.current_context, now, result);
}

void engine::handle(const process_id& from, const version_query& /*body*/, base::time_point /*now*/,
                    effects& result)
{
    const std::lock_guard guard(m_lock);
    const auto version = m_book ? m_book->version() : base::config_version{};
    result.messages.push_back({from.vm, version_answer{version}});
}

void engine::handle(const process_id& from, const version_answer& body, base::time_point now,
                    effects& /*result*/)
{
    const std::lock_guard guard(m_lock);
    m_versions.on_answer(from, body.version);
    if (m_versions.drop_replaced()) {
        publish(now);
    }
}

} // namespace chicorylink::budget
