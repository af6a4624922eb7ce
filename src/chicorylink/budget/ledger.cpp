#include "chicorylink/budget/ledger.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::budget {
namespace {

constexpr micro_tokens none{0};
constexpr base::nanoseconds least_retry_after = std::chrono::milliseconds(100);

refused refuse_for_now(const account& which, micro_tokens missing)
{
    const auto wait = time_to_mint(which.fleet_rate, missing);
    return {refusal::over_budget, std::max(wait, least_retry_after)};
}

} // namespace

void ledger::void_debts(account& which)
{
    for (auto& each : which.debts) {
        each.amount = none;
        each.refunds.clear();
        each.open = false;
        each.request = 0;
    }
}

void ledger::refresh(account& which, base::team_id team, const context& now_known,
                     base::time_point now)
{
    if (which.context_number == now_known.number) {
        return;
    }
    which.context_number = now_known.number;
    const auto* who = now_known.book ? now_known.book->find(team) : nullptr;
    const auto digest = who != nullptr ? digest_of(split_of(*who)) : 0;
    if (who == nullptr || who->burst < which.burst || digest != which.split_digest) {
        // Loans were sized by the older rules.
        void_debts(which);
    }
    which.split_digest = digest;
    if (who == nullptr) {
        which.own.set_limits({}, now);
        return;
    }
    which.burst = who->burst;
    which.fleet_rate = who->rate.value() * micro_per_token;
    which.own.set_limits(owned_limits(now_known, *who), now);
}

account& ledger::open(const rules::team& who, const context& now_known, base::time_point now)
{
    const auto known = m_accounts.find(who.id);
    if (known != m_accounts.end()) {
        refresh(known->second, who.id, now_known, now);
        return known->second;
    }
    auto& fresh = m_accounts.emplace(who.id, account{now}).first->second;
    const auto parts = slots_of(who.id, split_of(who).parts) & now_known.owned;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (!parts.test(slot)) {
            continue;
        }
        const auto share = slot_limits(now_known, who, slot);
        const auto& origin = now_known.origins[slot];
        fresh.own.attach(share, idle_balance(share, origin, now), share.abroad,
                         origin.quarantined_until, now);
    }
    refresh(fresh, who.id, now_known, now);
    return fresh;
}

account* ledger::refreshed(base::team_id team, const context& now_known, base::time_point now)
{
    const auto known = m_accounts.find(team);
    if (known == m_accounts.end()) {
        return nullptr;
    }
    refresh(known->second, team, now_known, now);
    return &known->second;
}

ledger::reservation ledger::take(account& from, const ask& request, base::time_point now)
{
    auto left = to_micro(request.upper_bound);
    reservation made{request.team, now, none, {}};
    // Loans first: they expire.
    for (auto& each : from.debts) {
        const auto amount = std::min(valid_amount(each, now), left);
        if (amount > none) {
            each.amount -= amount;
            each.used_at = now;
            left -= amount;
            made.borrowed.push_back({each.lender, each.process, amount, lender_time(each, now)});
        }
    }
    made.own = from.own.take(left, now);
    ++from.open_reservations;
    const auto refill = time_to_mint(from.own.present_limits().rate, from.own.present_limits().cap);
    from.keep_until = std::max(from.keep_until, now + lengthen(refill));
    return made;
}

admission ledger::reserve(const ask& request, reservation_id id, const context& now_known,
                          base::time_point now, effects& result)
{
    auto* which = refreshed(request.team, now_known, now);
    if (which == nullptr) {
        const auto* who = now_known.book ? now_known.book->find(request.team) : nullptr;
        if (who == nullptr || !rules::may_run_in(*who, now_known.region)) {
            return refused{refusal::unknown_team, std::nullopt};
        }
        which = &open(*who, now_known, now);
    }
    if (request.upper_bound > which->burst) {
        return refused{refusal::larger_than_burst, std::nullopt};
    }
    const auto amount = to_micro(request.upper_bound);
    const bool first_time = request.first_asked >= now;
    if (first_time) {
        note_demand(*which, amount, now);
    }
    which->own.mint(now);
    const auto present = available(*which, now);
    if (present >= amount) {
        m_reservations.emplace(id, take(*which, request, now));
        balance(*which, request.team, amount, now_known, now, result);
        return granted{id};
    }
    const auto missing = amount - present;
    const auto wait_until = request.first_asked + m_terms.longest_loan_wait;
    if (now >= wait_until) {
        return refuse_for_now(*which, missing);
    }
    const bool asked_already = std::ranges::any_of(which->debts, &debt::open);
    if (!asked_already && !ask_lenders(*which, request.team, missing, now_known, now, result)) {
        return refuse_for_now(*which, missing);
    }
    which->wanted = now < which->wanted_until ? which->wanted + amount : amount;
    which->wanted_until = std::max(which->wanted_until, wait_until);
    return wait_for_loan{wait_until};
}

base::result<void> ledger::settle(reservation_id id, base::tokens used, const context& now_known,
                                  base::time_point now)
{
    auto node = m_reservations.extract(id);
    if (node.empty()) {
        return base::fail(base::error_kind::not_found,
                          fmt::format("reservation {} is not open", id.value()),
                          "settle or release each reservation once");
    }
    const auto& made = node.mapped();
    auto reserved = made.own;
    for (const auto& each : made.borrowed) {
        reserved += each.amount;
    }
    auto unused = std::max(reserved - to_micro(used), none);
    auto* which = refreshed(made.team, now_known, now);
    if (which != nullptr) {
        which->open_reservations -= which->open_reservations > 0 ? 1 : 0;
        const auto own = std::min(unused, made.own);
        which->own.refund(own, made.taken_at, now);
        unused -= own;
        for (const auto& each : made.borrowed) {
            const auto amount = std::min(unused, each.amount);
            unused -= amount;
            const auto owed = std::ranges::find(which->debts, each.lender, &debt::lender);
            if (amount <= none || owed == which->debts.end() || owed->process != each.process) {
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
                    const context& now_known, base::time_point now)
{
    // Accounts that came along are opened without the new slots, which are attached below.
    auto before = now_known;
    before.owned &= ~slots;
    before.number = now_known.number - 1;
    for (const auto& each : balances) {
        const auto* who = now_known.book ? now_known.book->find(each.team) : nullptr;
        if (who != nullptr && !m_accounts.contains(each.team)) {
            open(*who, before, now);
        }
    }
    for (auto& entry : m_accounts) {
        const auto team = entry.first;
        auto& which = entry.second;
        const auto* who = now_known.book ? now_known.book->find(team) : nullptr;
        if (who == nullptr) {
            continue;
        }
        const auto gained = slots_of(team, split_of(*who).parts) & slots;
        for (std::size_t slot = 0; gained.any() && slot < slot_count; ++slot) {
            if (!gained.test(slot)) {
                continue;
            }
            const auto share = slot_limits(now_known, *who, slot);
            const auto& origin = now_known.origins[slot];
            const auto moved = std::ranges::find_if(balances, [&](const moved_balance& each) {
                return each.team == team && each.slot == slot;
            });
            if (moved != balances.end()) {
                which.own.attach(share, moved->balance, moved->lent,
                                 now + lengthen(m_terms.loan_term), now);
            }
            else {
                which.own.attach(share, idle_balance(share, origin, now), share.abroad,
                                 origin.quarantined_until, now);
            }
        }
    }
}

void ledger::detach(const slot_set& slots, const context& before, base::time_point now,
                    std::vector<moved_balance>& moved)
{
    for (auto& [team, which] : m_accounts) {
        const auto* who = before.book ? before.book->find(team) : nullptr;
        if (who == nullptr) {
            continue;
        }
        refresh(which, team, before, now);
        const auto owned = slots_of(team, split_of(*who).parts) & before.owned;
        const auto lost = owned & slots;
        auto count = static_cast<std::int64_t>(owned.count());
        for (std::size_t slot = 0; lost.any() && slot < slot_count; ++slot) {
            if (lost.test(slot)) {
                const auto gone = which.own.detach(slot_limits(before, *who, slot), count, now);
                moved.push_back({team, static_cast<std::uint16_t>(slot), gone.balance, gone.lent});
                --count;
            }
        }
    }
}

void ledger::forget_borrower(const borrower& who, base::time_point now)
{
    for (auto& [team, which] : m_accounts) {
        which.own.forget(who, now);
    }
}

void ledger::clear()
{
    m_accounts.clear();
    m_borrowing.clear();
}

micro_tokens ledger::spendable(base::team_id team, const context& now_known, base::time_point now)
{
    auto* which = refreshed(team, now_known, now);
    if (which == nullptr) {
        return none;
    }
    which->own.mint(now);
    return available(*which, now);
}

void ledger::forget_idle(const context& now_known, base::time_point now)
{
    constexpr base::nanoseconds sweep_interval = std::chrono::seconds(5);
    if (now - m_swept_at < sweep_interval) {
        return;
    }
    m_swept_at = now;
    for (auto each = m_accounts.begin(); each != m_accounts.end();) {
        auto& which = each->second;
        refresh(which, each->first, now_known, now);
        which.own.mint(now);
        const bool in_use = which.open_reservations > 0 || !which.debts.empty() ||
                            now < which.keep_until || now_known.held.contains(each->first);
        each = in_use || !which.own.is_idle() ? std::next(each) : m_accounts.erase(each);
    }
}

void ledger::refresh_all(const context& now_known, base::time_point now)
{
    for (auto& [team, which] : m_accounts) {
        refresh(which, team, now_known, now);
    }
}

void ledger::open_recut(const rules::team& who, const context& before, base::time_point now)
{
    if (m_accounts.contains(who.id)) {
        return;
    }
    const auto* old = before.book ? before.book->find(who.id) : nullptr;
    if (old != nullptr) {
        open(*old, before, now);
        return;
    }
    m_accounts.emplace(who.id, account{now});
}

} // namespace chicorylink::budget
