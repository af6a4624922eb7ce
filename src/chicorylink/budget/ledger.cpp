#include "chicorylink/budget/ledger.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::budget {
namespace {

constexpr micro_tokens zero{0};
constexpr base::nanoseconds min_retry_after = std::chrono::milliseconds(100);

refused refuse_for_now(const account& team_account, micro_tokens missing)
{
    const auto wait = time_to_mint(team_account.fleet_rate, missing);
    return {refusal::over_budget, std::max(wait, min_retry_after)};
}

} // namespace

void ledger::drop_debts(account& team_account)
{
    for (auto& each : team_account.debts) {
        each.amount = zero;
        each.refunds.clear();
        each.pending = false;
        each.request = 0;
    }
}

void ledger::refresh(account& team_account, base::team_id team, const context& ctx,
                     base::time_point now)
{
    if (team_account.context_number == ctx.number) {
        return;
    }
    team_account.context_number = ctx.number;
    const auto* team_rules = ctx.book ? ctx.book->find(team) : nullptr;
    const auto digest = team_rules != nullptr ? digest_of(split_of(*team_rules)) : 0;
    if (team_rules == nullptr || team_rules->burst < team_account.burst ||
        digest != team_account.split_digest) {
        // The loans were granted under the older rules.
        drop_debts(team_account);
    }
    team_account.split_digest = digest;
    if (team_rules == nullptr) {
        team_account.own.set_limits({}, now);
        return;
    }
    team_account.burst = team_rules->burst;
    team_account.fleet_rate = team_rules->rate.value() * micro_per_token;
    team_account.own.set_limits(owned_limits(ctx, *team_rules), now);
}

account& ledger::open(const rules::team& team_rules, const context& ctx, base::time_point now)
{
    const auto known = m_accounts.find(team_rules.id);
    if (known != m_accounts.end()) {
        refresh(known->second, team_rules.id, ctx, now);
        return known->second;
    }
    auto& fresh = m_accounts.emplace(team_rules.id, account{now}).first->second;
    const auto parts = slots_of(team_rules.id, split_of(team_rules).parts) & ctx.owned;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (!parts.test(slot)) {
            continue;
        }
        const auto share = slot_limits(ctx, team_rules, slot);
        const auto& origin = ctx.origins[slot];
        fresh.own.attach(share, idle_balance(share, origin, now), share.other_region_cap,
                         origin.quarantined_until, now);
    }
    refresh(fresh, team_rules.id, ctx, now);
    return fresh;
}

account* ledger::refreshed(base::team_id team, const context& ctx, base::time_point now)
{
    const auto known = m_accounts.find(team);
    if (known == m_accounts.end()) {
        return nullptr;
    }
    refresh(known->second, team, ctx, now);
    return &known->second;
}

ledger::reservation ledger::take(account& from, const admission_request& request,
                                 base::time_point now)
{
    auto left = to_micro(request.upper_bound);
    reservation new_reservation{request.team, now, zero, {}};
    // Loans are used first because they expire.
    for (auto& each : from.debts) {
        const auto amount = std::min(valid_amount(each, now), left);
        if (amount > zero) {
            each.amount -= amount;
            each.used_at = now;
            left -= amount;
            new_reservation.borrowed.push_back(
                {each.lender, each.process, amount, lender_time(each, now)});
        }
    }
    new_reservation.own = from.own.take(left, now);
    ++from.open_reservations;
    const auto refill = time_to_mint(from.own.present_limits().rate, from.own.present_limits().cap);
    from.keep_until = std::max(from.keep_until, now + with_drift_margin(refill));
    return new_reservation;
}

admission ledger::reserve(const admission_request& request, reservation_id id, const context& ctx,
                          base::time_point now, effects& result)
{
    auto* team_account = refreshed(request.team, ctx, now);
    if (team_account == nullptr) {
        const auto* team_rules = ctx.book ? ctx.book->find(request.team) : nullptr;
        if (team_rules == nullptr || !rules::may_run_in(*team_rules, ctx.region)) {
            return refused{refusal::unknown_team, std::nullopt};
        }
        team_account = &open(*team_rules, ctx, now);
    }
    if (request.upper_bound > team_account->burst) {
        return refused{refusal::larger_than_burst, std::nullopt};
    }
    const auto amount = to_micro(request.upper_bound);
    const bool first_time = request.first_requested_at >= now;
    if (first_time) {
        add_demand(*team_account, amount, now);
    }
    team_account->own.mint(now);
    const auto present = available(*team_account, now);
    if (present >= amount) {
        m_reservations.emplace(id, take(*team_account, request, now));
        balance(*team_account, request.team, amount, ctx, now, result);
        return granted{id};
    }
    const auto missing = amount - present;
    const auto wait_until = request.first_requested_at + m_settings.max_loan_wait;
    if (now >= wait_until) {
        return refuse_for_now(*team_account, missing);
    }
    const bool loan_requested = std::ranges::any_of(team_account->debts, &debt::pending);
    if (!loan_requested && !request_loans(*team_account, request.team, missing, ctx, now, result)) {
        return refuse_for_now(*team_account, missing);
    }
    team_account->wanted =
        now < team_account->wanted_until ? team_account->wanted + amount : amount;
    team_account->wanted_until = std::max(team_account->wanted_until, wait_until);
    return wait_for_loan{wait_until};
}

base::result<void> ledger::settle(reservation_id id, base::tokens used, const context& ctx,
                                  base::time_point now)
{
    auto node = m_reservations.extract(id);
    if (node.empty()) {
        return base::fail(base::error_kind::not_found,
                          fmt::format("reservation {} is not open", id.value()),
                          "settle or release each reservation once");
    }
    const auto& ended = node.mapped();
    auto reserved = ended.own;
    for (const auto& each : ended.borrowed) {
        reserved += each.amount;
    }
    auto unused = std::max(reserved - to_micro(used), zero);
    auto* team_account = refreshed(ended.team, ctx, now);
    if (team_account != nullptr) {
        team_account->open_reservations -= team_account->open_reservations > 0 ? 1 : 0;
        const auto own = std::min(unused, ended.own);
        team_account->own.refund(own, ended.taken_at, now);
        unused -= own;
        for (const auto& each : ended.borrowed) {
            const auto amount = std::min(unused, each.amount);
            unused -= amount;
            const auto owed = std::ranges::find(team_account->debts, each.lender, &debt::lender);
            if (amount <= zero || owed == team_account->debts.end() ||
                owed->process != each.process) {
                continue;
            }
            add_refund(*owed, {each.stamp, amount});
        }
    }
    if (to_micro(used) > reserved) {
        return base::fail(base::error_kind::invalid_state,
                          fmt::format("{} tokens were used of {} reserved", used.value(),
                                      whole_tokens(reserved).value()),
                          "reserve an upper bound of prompt and answer, and cut the answer there");
    }
    return {};
}

void ledger::attach(const slot_set& slots, const std::vector<moved_balance>& balances,
                    const context& ctx, base::time_point now)
{
    // Accounts of transferred balances are opened without the new slots, which are attached below.
    auto before = ctx;
    before.owned &= ~slots;
    before.number = ctx.number - 1;
    for (const auto& each : balances) {
        const auto* team_rules = ctx.book ? ctx.book->find(each.team) : nullptr;
        if (team_rules != nullptr && !m_accounts.contains(each.team)) {
            open(*team_rules, before, now);
        }
    }
    for (auto& entry : m_accounts) {
        const auto team = entry.first;
        auto& team_account = entry.second;
        const auto* team_rules = ctx.book ? ctx.book->find(team) : nullptr;
        if (team_rules == nullptr) {
            continue;
        }
        const auto gained = slots_of(team, split_of(*team_rules).parts) & slots;
        for (std::size_t slot = 0; gained.any() && slot < slot_count; ++slot) {
            if (!gained.test(slot)) {
                continue;
            }
            const auto share = slot_limits(ctx, *team_rules, slot);
            const auto& origin = ctx.origins[slot];
            const auto moved = std::ranges::find_if(balances, [&](const moved_balance& each) {
                return each.team == team && each.slot == slot;
            });
            if (moved != balances.end()) {
                team_account.own.attach(share, moved->balance, moved->lent,
                                        now + with_drift_margin(m_settings.loan_term), now);
            }
            else {
                team_account.own.attach(share, idle_balance(share, origin, now),
                                        share.other_region_cap, origin.quarantined_until, now);
            }
        }
    }
}

void ledger::detach(const slot_set& slots, const context& before, base::time_point now,
                    std::vector<moved_balance>& moved)
{
    for (auto& [team, team_account] : m_accounts) {
        const auto* team_rules = before.book ? before.book->find(team) : nullptr;
        if (team_rules == nullptr) {
            continue;
        }
        refresh(team_account, team, before, now);
        const auto owned = slots_of(team, split_of(*team_rules).parts) & before.owned;
        const auto lost = owned & slots;
        auto count = static_cast<std::int64_t>(owned.count());
        for (std::size_t slot = 0; lost.any() && slot < slot_count; ++slot) {
            if (lost.test(slot)) {
                const auto detached =
                    team_account.own.detach(slot_limits(before, *team_rules, slot), count, now);
                moved.push_back(
                    {team, static_cast<std::uint16_t>(slot), detached.balance, detached.lent});
                --count;
            }
        }
    }
}

void ledger::drop_borrower(const process_id& borrower, base::time_point now)
{
    for (auto& [team, team_account] : m_accounts) {
        team_account.own.drop_loans_of(borrower, now);
    }
}

void ledger::clear()
{
    m_accounts.clear();
    m_borrowing_teams.clear();
}

micro_tokens ledger::spendable(base::team_id team, const context& ctx, base::time_point now)
{
    auto* team_account = refreshed(team, ctx, now);
    if (team_account == nullptr) {
        return zero;
    }
    team_account->own.mint(now);
    return available(*team_account, now);
}

void ledger::drop_idle_accounts(const context& ctx, base::time_point now)
{
    constexpr base::nanoseconds sweep_interval = std::chrono::seconds(5);
    if (now - m_swept_at < sweep_interval) {
        return;
    }
    m_swept_at = now;
    for (auto each = m_accounts.begin(); each != m_accounts.end();) {
        auto& team_account = each->second;
        refresh(team_account, each->first, ctx, now);
        team_account.own.mint(now);
        const bool in_use = team_account.open_reservations > 0 || !team_account.debts.empty() ||
                            now < team_account.keep_until || ctx.held.contains(each->first);
        each = in_use || !team_account.own.is_idle() ? std::next(each) : m_accounts.erase(each);
    }
}

void ledger::refresh_all(const context& ctx, base::time_point now)
{
    for (auto& [team, team_account] : m_accounts) {
        refresh(team_account, team, ctx, now);
    }
}

void ledger::open_for_new_split(const rules::team& team_rules, const context& before,
                                base::time_point now)
{
    if (m_accounts.contains(team_rules.id)) {
        return;
    }
    const auto* old = before.book ? before.book->find(team_rules.id) : nullptr;
    if (old != nullptr) {
        open(*old, before, now);
        return;
    }
    m_accounts.emplace(team_rules.id, account{now});
}

} // namespace chicorylink::budget
