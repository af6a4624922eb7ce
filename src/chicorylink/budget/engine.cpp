#include "chicorylink/budget/engine.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chicorylink::budget {

engine::engine(identity self, const settings& budget_settings, base::time_point start)
    : m_self(self), m_settings(budget_settings), m_slots(self, budget_settings, start),
      m_versions(budget_settings), m_member_until(start.time_since_epoch().count())
{
    for (auto& each : m_shards) {
        each = std::make_unique<shard>(budget_settings);
    }
    publish(start);
}

engine::shard& engine::shard_of(base::team_id team)
{
    return *m_shards[base::hash_pair(team.value(), 0) % shard_count];
}

engine::shard& engine::shard_of(reservation_id id) const
{
    return *m_shards[id.value() % shard_count];
}

bool engine::may_spend(base::time_point now) const
{
    return m_rules_are_current && now.time_since_epoch().count() < m_member_until;
}

std::shared_ptr<context> engine::next_context() const
{
    auto next = std::make_shared<context>();
    next->number = m_last_context;
    next->self = m_self.vm;
    next->region = m_self.region;
    next->book = m_book;
    next->owned = m_slots.owned();
    next->origins = m_slots.origins();
    next->owners = m_owners;
    for (const auto& each : m_versions.held()) {
        next->held[each.team].push_back(each.team_split);
    }
    return next;
}

void engine::publish(base::time_point now)
{
    m_last_context += 2;
    const std::shared_ptr<const context> next = next_context();
    for (auto& each : m_shards) {
        const std::lock_guard guard(each->lock);
        each->accounts.refresh_all(*next, now);
        each->current_context = next;
    }
}

void engine::open_accounts_with_new_split(const rules::rulebook& before,
                                          const rules::rulebook& after, base::time_point now)
{
    for (const auto& team_rules : after.teams()) {
        const auto* old = before.find(team_rules.id);
        const auto team_split = split_of(team_rules);
        const bool split_changed = old == nullptr || split_of(*old) != team_split;
        if (!split_changed ||
            (slots_of(team_rules.id, team_split.parts) & m_slots.owned()).none()) {
            continue;
        }
        auto& team_shard = shard_of(team_rules.id);
        const std::lock_guard guard(team_shard.lock);
        team_shard.accounts.open_for_new_split(team_rules, *team_shard.current_context, now);
    }
}

void engine::attach_slots(const slot_set& slots, const std::vector<moved_balance>& balances,
                          base::time_point now)
{
    if (slots.none()) {
        return;
    }
    m_last_context += 2;
    const std::shared_ptr<const context> next = next_context();
    for (auto& each : m_shards) {
        const std::lock_guard guard(each->lock);
        std::vector<moved_balance> shard_balances;
        std::ranges::copy_if(
            balances, std::back_inserter(shard_balances),
            [&](const moved_balance& one) { return &shard_of(one.team) == each.get(); });
        each->accounts.attach(slots, shard_balances, *next, now);
        each->accounts.refresh_all(*next, now);
        each->current_context = next;
    }
}

void engine::add_held_splits(const std::vector<held_split>& held, base::config_version version)
{
    m_versions.add_held_splits(held);
    // Another VM of the region already uses newer rules: nothing is spent until they arrive here.
    if (m_book == nullptr || m_book->version() < version) {
        m_required_version = std::max(m_required_version, version);
        m_rules_are_current = false;
    }
}

effects engine::on_rules(std::shared_ptr<const rules::rulebook> book, base::time_point now)
{
    effects result;
    const std::lock_guard guard(m_lock);
    if (book == nullptr || (m_book != nullptr && book->version() <= m_book->version())) {
        return result;
    }
    m_versions.on_rules(m_book.get(), *book);
    if (m_book != nullptr) {
        open_accounts_with_new_split(*m_book, *book, now);
    }
    m_book = std::move(book);
    m_rules_are_current = m_book->version() >= m_required_version;
    m_versions.drop_replaced();
    publish(now);
    result.messages = m_versions.queries(now);
    return result;
}

void engine::drop_all_tokens(base::time_point now)
{
    m_slots.clear(now);
    m_last_context += 2;
    const std::shared_ptr<const context> next = next_context();
    for (auto& each : m_shards) {
        const std::lock_guard guard(each->lock);
        each->accounts.clear();
        each->current_context = next;
    }
}

bool engine::update_owners(const membership::view& members)
{
    std::uint64_t digest = 0;
    for (const auto& each : members.members) {
        if (each.state == membership::member_state::live) {
            digest = base::hash_pair(digest ^ each.region.value(), each.id.value());
        }
    }
    if (digest == m_live_vms_digest) {
        return false;
    }
    m_live_vms_digest = digest;
    m_owners.clear();
    for (const auto& each : members.members) {
        if (!m_owners.contains(each.region)) {
            m_owners.emplace(each.region, owners_of(each.region, members));
        }
    }
    return true;
}

effects engine::on_view(const membership::view& members, base::time_point now)
{
    effects result;
    const std::lock_guard guard(m_lock);
    const auto self = std::ranges::find(members.members, m_self.vm, &membership::member::id);
    const bool incarnation_changed = self != members.members.end() &&
                                     self->process != base::incarnation{} &&
                                     self->process != m_self.process;
    if (incarnation_changed || now.time_since_epoch().count() >= m_member_until) {
        // Other VMs may have taken the slots over while this VM had no permission to spend.
        drop_all_tokens(now);
    }
    if (incarnation_changed) {
        m_self.process = self->process;
        m_slots.set_incarnation(self->process);
    }
    std::vector<process_id> gone;
    const bool owners_changed = update_owners(members);
    m_slots.on_view(members, m_owners[m_self.region], now, gone);
    m_versions.on_view(members);
    const bool splits_dropped = m_versions.drop_replaced();
    m_member_until = members.member_until.time_since_epoch().count();
    if (owners_changed || splits_dropped) {
        publish(now);
    }
    for (auto& each : m_shards) {
        const std::lock_guard shard_guard(each->lock);
        for (const auto& ended : gone) {
            each->accounts.drop_borrower(ended, now);
        }
    }
    try_claim(now, result);
    return result;
}

void engine::try_claim(base::time_point now, effects& result)
{
    const auto request = m_slots.begin_claim(now, may_spend(now));
    if (!request) {
        return;
    }
    for (const auto to : m_slots.claim_recipients()) {
        result.messages.push_back({to, *request});
    }
    attach_slots(m_slots.finish_claim(now), {}, now);
}

effects engine::tick(base::time_point now)
{
    effects result;
    const std::lock_guard guard(m_lock);
    try_claim(now, result);
    if (m_versions.drop_replaced()) {
        publish(now);
    }
    auto resent = m_slots.resend(now);
    auto queries = m_versions.queries(now);
    std::ranges::move(resent, std::back_inserter(result.messages));
    std::ranges::move(queries, std::back_inserter(result.messages));
    for (auto& each : m_shards) {
        const std::lock_guard shard_guard(each->lock);
        each->accounts.tick(*each->current_context, now, result);
    }
    return result;
}

admission engine::reserve(const admission_request& request, base::time_point now, effects& result)
{
    if (!may_spend(now)) {
        return refused{refusal::not_a_member, std::nullopt};
    }
    auto& team_shard = shard_of(request.team);
    const std::lock_guard guard(team_shard.lock);
    const auto index = base::hash_pair(request.team.value(), 0) % shard_count;
    const reservation_id id{++team_shard.last_reservation * shard_count + index};
    return team_shard.accounts.reserve(request, id, *team_shard.current_context, now, result);
}

bool engine::confirm(reservation_id id, base::time_point now) const
{
    if (!may_spend(now)) {
        return false;
    }
    auto& team_shard = shard_of(id);
    const std::lock_guard guard(team_shard.lock);
    return team_shard.accounts.holds(id);
}

base::result<void> engine::settle(reservation_id id, base::tokens used, base::time_point now)
{
    auto& team_shard = shard_of(id);
    const std::lock_guard guard(team_shard.lock);
    return team_shard.accounts.settle(id, used, *team_shard.current_context, now);
}

base::result<void> engine::release(reservation_id id, base::time_point now)
{
    return settle(id, base::tokens{0}, now);
}

effects engine::drain(base::time_point now)
{
    effects result;
    const std::lock_guard guard(m_lock);
    m_slots.start_draining();
    for (auto& each : m_shards) {
        const std::lock_guard shard_guard(each->lock);
        each->accounts.return_loans(now, result);
    }
    return result;
}

bool engine::drained() const
{
    const std::lock_guard guard(m_lock);
    return m_slots.drained();
}

std::size_t engine::owned_slot_count() const
{
    const std::lock_guard guard(m_lock);
    return m_slots.owned().count();
}

std::size_t engine::account_count() const
{
    std::size_t count = 0;
    for (const auto& each : m_shards) {
        const std::lock_guard guard(each->lock);
        count += each->accounts.account_count();
    }
    return count;
}

micro_tokens engine::spendable(base::team_id team, base::time_point now)
{
    auto& team_shard = shard_of(team);
    const std::lock_guard guard(team_shard.lock);
    return team_shard.accounts.spendable(team, *team_shard.current_context, now);
}

bool engine::shares_held_back() const
{
    const std::lock_guard guard(m_lock);
    return !m_versions.held().empty();
}

} // namespace chicorylink::budget
