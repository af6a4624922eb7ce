// The part of the ledger that lends and borrows.
#include "chicorylink/budget/ledger.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::budget {
namespace {

constexpr micro_tokens none{0};

struct lender_parts {
    base::vm_id lender;
    std::int64_t parts = 0;
};

/// The owners of a team's slots in a region without this VM, each with the number of its slots.
std::vector<lender_parts> lenders_in(base::region_id where, const slot_set& slots,
                                     const context& now_known)
{
    std::vector<lender_parts> found;
    const auto owners = now_known.owners.find(where);
    if (owners == now_known.owners.end()) {
        return found;
    }
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const auto owner = owners->second[slot];
        if (!slots.test(slot) || owner == now_known.self || owner == base::vm_id{}) {
            continue;
        }
        const auto known = std::ranges::find(found, owner, &lender_parts::lender);
        if (known != found.end()) {
            ++known->parts;
            continue;
        }
        found.push_back({owner, 1});
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

/// A lender that may be asked now, and what it is expected to lend.
struct candidate {
    base::vm_id lender;
    bool other_region = false;
    micro_tokens expected;
};

/// Adds the lenders of one region that are not being asked already.
void add_candidates(base::region_id where, const split& how, const slot_set& slots,
                    const account& which, const context& now_known, base::time_point now,
                    std::vector<candidate>& found)
{
    const auto divisor = static_cast<std::int64_t>(how.regions.size()) * how.parts;
    for (const auto& [lender, parts] : lenders_in(where, slots, now_known)) {
        const auto owed = std::ranges::find(which.debts, lender, &debt::lender);
        const bool known = owed != which.debts.end();
        if (known && (owed->open || owed->next_ask > now)) {
            continue;
        }
        // One that was not asked yet is expected to be full.
        const micro_tokens full{to_micro(which.burst).value() / divisor * parts};
        const auto expected = known && owed->left ? *owed->left : full;
        found.push_back({lender, where != now_known.region, expected});
    }
}

std::vector<candidate> candidates_of(const rules::team& who, const account& which,
                                     const context& now_known, base::time_point now)
{
    const auto how = split_of(who);
    const auto slots = slots_of(who.id, how.parts);
    const auto richer = [](const candidate& left, const candidate& right) {
        return left.expected > right.expected;
    };
    std::vector<candidate> found;
    add_candidates(now_known.region, how, slots, which, now_known, now, found);
    std::ranges::stable_sort(found, richer);
    const auto local = static_cast<std::ptrdiff_t>(found.size());
    for (const auto where : how.regions) {
        if (where != now_known.region) {
            add_candidates(where, how, slots, which, now_known, now, found);
        }
    }
    std::stable_sort(found.begin() + local, found.end(), richer);
    return found;
}

debt& debt_to(account& which, const candidate& from, base::time_point now)
{
    const auto owed = std::ranges::find(which.debts, from.lender, &debt::lender);
    if (owed != which.debts.end()) {
        return *owed;
    }
    auto& fresh = which.debts.emplace_back();
    fresh.lender = from.lender;
    fresh.other_region = from.other_region;
    fresh.used_at = now;
    fresh.pause = std::chrono::milliseconds(25);
    return fresh;
}

} // namespace

bool ledger::ask_lenders(account& which, base::team_id team, micro_tokens missing,
                         const context& now_known, base::time_point now, effects& result)
{
    const auto* who = now_known.book->find(team);
    if (who == nullptr) {
        return false;
    }
    const auto ahead = expected_demand(which, m_terms.prefetch, now);
    auto uncovered = missing;
    bool asked = false;
    // As many lenders at once as are expected to cover what is missing, those nearby first.
    for (const auto& each : candidates_of(*who, which, now_known, now)) {
        if (uncovered <= none) {
            break;
        }
        m_borrowing.insert(team);
        send_request(which, debt_to(which, each, now), team, uncovered, uncovered + ahead, now,
                     result);
        uncovered -= each.expected;
        asked = true;
    }
    return asked;
}

void ledger::balance(account& which, base::team_id team, micro_tokens spent,
                     const context& now_known, base::time_point now, effects& result)
{
    // Spending from the fullest bucket first loses the fewest tokens to full buckets.
    constexpr std::int64_t full_enough = 700;
    const auto level = level_per_mille(which);
    const auto* who = now_known.book->find(team);
    // A lone request is no demand to prepare for.
    const auto demand = expected_demand(which, std::chrono::seconds(1), now);
    if (demand.value() * 2 < spent.value() * 3) {
        return;
    }
    if (level >= full_enough || who == nullptr ||
        now - which.balanced_at < m_terms.balance_interval) {
        return;
    }
    which.balanced_at = now;
    const auto lenders = candidates_of(*who, which, now_known, now);
    const auto fullest = std::ranges::max_element(lenders, {}, &candidate::expected);
    const auto ahead = expected_demand(which, m_terms.prefetch, now);
    if (fullest != lenders.end() && ahead > none) {
        m_borrowing.insert(team);
        send_request(which, debt_to(which, *fullest, now), team, none, ahead, now, result);
    }
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
    request.refunds = std::exchange(to.refunds, {});
    request.other_region = to.other_region;
    request.level_per_mille = level_per_mille(which);
    to.need = need;
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
            for (const auto& each : request.refunds) {
                which.own.refund(std::max(each.amount, none), from_stamp(each.stamp), now);
            }
        }
        // The need is met from all that is there; more only as far as this bucket stays fuller
        // than the borrower's and keeps what is expected to be needed here soon.
        const auto need = std::clamp(request.need, none, to_micro(who->burst));
        const auto level = std::clamp<std::int64_t>(request.level_per_mille, 0, 1000);
        const auto keep =
            std::max(expected_demand(which, m_terms.prefetch, now),
                     micro_tokens{which.own.present_limits().cap.value() / 1000 * level});
        const auto spare = which.own.balance() - need - keep;
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
    if (owed == which->debts.end() || owed->request == 0 || owed->request != grant.request) {
        return;
    }
    owed->open = false;
    owed->request = 0;
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
        owed->granted_at = now;
    }
    // A lender that could not help is asked less and less often.
    const bool met = grant.amount >= owed->need && owed->need > none;
    const bool fruitless = grant.amount <= none && owed->need > none;
    owed->pause =
        fruitless ? std::min(owed->pause * 2, m_terms.longest_ask_interval) : m_terms.ask_interval;
    owed->next_ask = met ? now : now + owed->pause;
    if (now >= which->wanted_until) {
        return;
    }
    which->own.mint(now);
    const auto present = available(*which, now);
    const bool enough = present >= which->wanted;
    if (!enough && std::ranges::any_of(which->debts, &debt::open)) {
        return;
    }
    if (enough ||
        !ask_lenders(*which, grant.team, which->wanted - present, now_known, now, result)) {
        which->wanted_until = now;
        result.ready.push_back(grant.team);
    }
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
        // A busy team needs its refunds back soon; others send them together with what they return.
        micro_tokens refund;
        for (const auto& unused : each.refunds) {
            refund += unused.amount;
        }
        const bool busy = expected_demand(which, std::chrono::seconds(1), now) >= refund;
        const bool refund_due =
            refund > none && (busy || now - each.asked_at >= m_terms.return_after);
        if (refund_due || spent_much || renew) {
            const auto ahead = expected_demand(which, m_terms.prefetch, now);
            const auto want = std::max(ahead - available(which, now), none);
            send_request(which, each, team, none, want, now, result);
        }
    }
    std::erase_if(which.debts, [&](const debt& each) {
        return !each.open && each.amount <= none && each.refunds.empty() &&
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
