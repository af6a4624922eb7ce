// The part of the ledger that lends and borrows.
#include "chicorylink/budget/ledger.hpp"

#include <algorithm>

namespace chicorylink::budget {
namespace {

constexpr micro_tokens none{0};

/// The owners of a team's slots in a region, without this VM and without repetition.
std::vector<base::vm_id> lenders_in(base::region_id where, const slot_set& slots,
                                    const context& now_known)
{
    std::vector<base::vm_id> found;
    const auto owners = now_known.owners.find(where);
    if (owners == now_known.owners.end()) {
        return found;
    }
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const auto owner = owners->second[slot];
        if (slots.test(slot) && owner != now_known.self && owner != base::vm_id{} &&
            std::ranges::find(found, owner) == found.end()) {
            found.push_back(owner);
        }
    }
    return found;
}

std::int64_t to_stamp(base::time_point when)
{
    return when.time_since_epoch().count();
}

base::time_point from_stamp(std::int64_t stamp)
{
    return base::time_point{base::time_point::duration{stamp}};
}

/// The lender that was last seen with the most tokens; one not asked yet goes first.
base::vm_id richest(const std::vector<base::vm_id>& lenders, const account& which,
                    base::time_point now)
{
    base::vm_id best;
    micro_tokens best_left{-1};
    for (const auto lender : lenders) {
        const auto owed = std::ranges::find(which.debts, lender, &debt::lender);
        const bool known = owed != which.debts.end();
        if (known && (owed->open || owed->next_ask > now)) {
            continue;
        }
        const auto left = known && owed->left ? *owed->left : to_micro(which.burst);
        if (left > best_left) {
            best = lender;
            best_left = left;
        }
    }
    return best;
}

} // namespace

debt* ledger::choose_lender(account& which, base::team_id team, const context& now_known,
                            base::time_point now)
{
    const auto* who = now_known.book->find(team);
    if (who == nullptr) {
        return nullptr;
    }
    const auto how = split_of(*who);
    const auto slots = slots_of(team, how.parts);
    auto chosen = richest(lenders_in(now_known.region, slots, now_known), which, now);
    const bool other_region = chosen == base::vm_id{};
    if (other_region) {
        std::vector<base::vm_id> abroad;
        for (const auto where : how.regions) {
            if (where != now_known.region) {
                const auto more = lenders_in(where, slots, now_known);
                abroad.insert(abroad.end(), more.begin(), more.end());
            }
        }
        chosen = richest(abroad, which, now);
    }
    if (chosen == base::vm_id{}) {
        return nullptr;
    }
    const auto owed = std::ranges::find(which.debts, chosen, &debt::lender);
    if (owed != which.debts.end()) {
        return &*owed;
    }
    m_borrowing.insert(team);
    auto& fresh = which.debts.emplace_back();
    fresh.lender = chosen;
    fresh.other_region = other_region;
    fresh.used_at = now;
    return &fresh;
}

void ledger::send_request(account& which, debt& to, base::team_id team, micro_tokens need,
                          micro_tokens want, base::time_point now, effects& result)
{
    if (to.until <= now) {
        to.amount = none;
    }
    loan_request request;
    request.team = team;
    request.request = ++m_last_request;
    request.need = need;
    request.want = std::min(want, to_micro(which.burst));
    request.holding = to.amount;
    request.refund = to.refund;
    request.refund_stamp = to.refund_stamp;
    request.other_region = to.other_region;
    to.refund = none;
    to.reported = to.amount;
    to.request = request.request;
    to.asked_at = now;
    to.open = true;
    result.messages.push_back({to.lender, request});
}

void ledger::on_request(const borrower& from, const loan_request& request, const context& now_known,
                        base::time_point now, effects& result)
{
    loan_grant grant;
    grant.team = request.team;
    grant.request = request.request;
    grant.stamp = to_stamp(now);
    grant.version = now_known.book ? now_known.book->version() : base::config_version{};
    const auto* who = now_known.book ? now_known.book->find(request.team) : nullptr;
    if (who != nullptr) {
        auto& which = open(*who, now_known, now);
        const loan_report report{request.request, request.holding, request.returned};
        const auto accepted = which.own.accept(from, report, request.other_region,
                                               now + lengthen(m_terms.loan_term), now);
        if (!accepted) {
            return;
        }
        if (accepted->known) {
            which.own.refund(std::max(request.refund, none), from_stamp(request.refund_stamp), now);
        }
        // The need is met from all that is there; more only from what is not expected to be
        // needed here soon.
        const auto need = std::clamp(request.need, none, to_micro(who->burst));
        const auto spare =
            which.own.balance() - need - expected_demand(which, m_terms.prefetch, now);
        const auto more = std::min(request.want - need, micro_tokens{spare.value() / 2});
        grant.amount = which.own.lend(from, need + std::max(more, none), now);
        grant.holding = accepted->holding;
        grant.left = which.own.balance();
        const auto refill =
            time_to_mint(which.own.present_limits().rate, which.own.present_limits().cap);
        which.keep_until = std::max(which.keep_until, now + lengthen(refill));
    }
    result.messages.push_back({from.vm, grant});
}

void ledger::on_grant(const borrower& lender, const loan_grant& grant, const context& now_known,
                      base::time_point now, effects& result)
{
    auto* which = refreshed(grant.team, now_known, now);
    if (which == nullptr) {
        return;
    }
    const auto owed = std::ranges::find(which->debts, lender.vm, &debt::lender);
    if (owed == which->debts.end() || !owed->open || owed->request != grant.request) {
        return;
    }
    owed->open = false;
    owed->left = grant.left;
    if (owed->process != lender.process) {
        owed->amount = none;
        owed->process = lender.process;
    }
    const auto until = owed->asked_at + m_terms.loan_term;
    // A lender with older rules may lend more than the present ones allow.
    const bool current = now_known.book && grant.version >= now_known.book->version();
    if (until > now && current) {
        owed->amount = std::min(owed->amount, grant.holding) + grant.amount;
        owed->reported = owed->amount;
        owed->until = until;
        owed->stamp = grant.stamp;
    }
    const bool waiting = now < which->wanted_until;
    if (!waiting) {
        owed->next_ask = now + m_terms.ask_interval;
        return;
    }
    which->own.mint(now);
    const auto present = available(*which, now);
    if (present >= which->wanted) {
        which->wanted_until = now;
        result.ready.push_back(grant.team);
        return;
    }
    owed->next_ask = now + m_terms.ask_interval;
    auto* next = choose_lender(*which, grant.team, now_known, now);
    if (next == nullptr) {
        which->wanted_until = now;
        result.ready.push_back(grant.team);
        return;
    }
    const auto missing = which->wanted - present;
    const auto ahead = expected_demand(*which, m_terms.prefetch, now);
    send_request(*which, *next, grant.team, missing, missing + ahead, now, result);
}

void ledger::tick_debts(account& which, base::team_id team, base::time_point now, effects& result)
{
    constexpr base::nanoseconds report_interval = std::chrono::milliseconds(500);
    constexpr base::nanoseconds unresponsive_pause = std::chrono::seconds(1);
    for (auto& each : which.debts) {
        if (each.until <= now) {
            each.amount = none;
        }
        const auto timeout =
            each.other_region ? m_terms.remote_loan_timeout : m_terms.local_loan_timeout;
        if (each.open && now - each.asked_at >= timeout) {
            each.open = false;
            each.next_ask = now + unresponsive_pause;
            each.left.reset();
        }
        if (each.open || now - each.asked_at < report_interval || now < each.next_ask) {
            continue;
        }
        if (each.amount > none && now - each.used_at >= m_terms.return_after) {
            const auto returned = std::exchange(each.amount, none);
            send_request(which, each, team, none, none, now, result);
            std::get<loan_request>(result.messages.back().body).returned = returned;
            continue;
        }
        const bool spent_much = each.amount.value() * 4 < each.reported.value() * 3;
        const bool renew = each.amount > none && now - each.asked_at >= m_terms.loan_term / 2;
        if (each.refund > none || spent_much || renew) {
            const auto ahead = expected_demand(which, m_terms.prefetch, now);
            const auto want = std::max(ahead - available(which, now), none);
            send_request(which, each, team, none, want, now, result);
        }
    }
    std::erase_if(which.debts, [&](const debt& each) {
        return !each.open && each.amount <= none && each.refund <= none &&
               now - each.used_at >= m_terms.loan_term && now - each.asked_at >= m_terms.loan_term;
    });
}

void ledger::tick(const context& now_known, base::time_point now, effects& result)
{
    std::erase_if(m_borrowing, [&](base::team_id team) {
        auto* which = refreshed(team, now_known, now);
        if (which == nullptr) {
            return true;
        }
        which->own.mint(now);
        tick_debts(*which, team, now, result);
        return which->debts.empty();
    });
    forget_idle(now_known, now);
}

void ledger::return_loans(base::time_point now, effects& result)
{
    for (const auto team : m_borrowing) {
        auto& which = m_accounts.at(team);
        for (auto& each : which.debts) {
            if (valid_amount(each, now) > none) {
                const auto returned = std::exchange(each.amount, none);
                send_request(which, each, team, none, none, now, result);
                std::get<loan_request>(result.messages.back().body).returned = returned;
            }
        }
    }
}

void ledger::void_loans(const slot_set& slots, const context& now_known)
{
    for (const auto team : m_borrowing) {
        const auto* who = now_known.book ? now_known.book->find(team) : nullptr;
        auto& which = m_accounts.at(team);
        if (who != nullptr && (slots_of(team, split_of(*who).parts) & slots).none()) {
            continue;
        }
        void_debts(which);
    }
}

} // namespace chicorylink::budget
