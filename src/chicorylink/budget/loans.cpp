// Lending and borrowing functions of the ledger.
#include "chicorylink/budget/ledger.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::budget {
namespace {

constexpr micro_tokens zero{0};

struct lender_parts {
    base::vm_id lender;
    std::int64_t parts = 0;
};

/// The owners of a team's slots in a region except this VM, each with its number of slots.
std::vector<lender_parts> lenders_in(base::region_id lender_region, const slot_set& slots,
                                     const context& ctx)
{
    std::vector<lender_parts> found;
    const auto owners = ctx.owners.find(lender_region);
    if (owners == ctx.owners.end()) {
        return found;
    }
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        const auto owner = owners->second[slot];
        if (!slots.test(slot) || owner == ctx.self || owner == base::vm_id{}) {
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

/// A lender that may be asked now, and the tokens that it is expected to have.
struct candidate {
    base::vm_id lender;
    bool other_region = false;
    micro_tokens expected;
};

/// Adds the lenders of one region that have no pending request and may be asked again.
void add_candidates(base::region_id lender_region, const split& team_split, const slot_set& slots,
                    const account& team_account, const context& ctx, base::time_point now,
                    std::vector<candidate>& candidates)
{
    const auto divisor = static_cast<std::int64_t>(team_split.regions.size()) * team_split.parts;
    for (const auto& [lender, parts] : lenders_in(lender_region, slots, ctx)) {
        const auto owed = std::ranges::find(team_account.debts, lender, &debt::lender);
        const bool known = owed != team_account.debts.end();
        if (known && (owed->pending || owed->next_request_at > now)) {
            continue;
        }
        // A lender that was not asked yet is expected to be full.
        const micro_tokens full{to_micro(team_account.burst).value() / divisor * parts};
        const auto expected = known && owed->left ? *owed->left : full;
        candidates.push_back({lender, lender_region != ctx.region, expected});
    }
}

std::vector<candidate> candidates_of(const rules::team& team_rules, const account& team_account,
                                     const context& ctx, base::time_point now)
{
    const auto team_split = split_of(team_rules);
    const auto slots = slots_of(team_rules.id, team_split.parts);
    const auto expects_more = [](const candidate& left, const candidate& right) {
        return left.expected > right.expected;
    };
    std::vector<candidate> candidates;
    add_candidates(ctx.region, team_split, slots, team_account, ctx, now, candidates);
    std::ranges::stable_sort(candidates, expects_more);
    const auto local = static_cast<std::ptrdiff_t>(candidates.size());
    for (const auto lender_region : team_split.regions) {
        if (lender_region != ctx.region) {
            add_candidates(lender_region, team_split, slots, team_account, ctx, now, candidates);
        }
    }
    std::stable_sort(candidates.begin() + local, candidates.end(), expects_more);
    return candidates;
}

debt& debt_to(account& team_account, const candidate& from, base::time_point now)
{
    const auto owed = std::ranges::find(team_account.debts, from.lender, &debt::lender);
    if (owed != team_account.debts.end()) {
        return *owed;
    }
    auto& fresh = team_account.debts.emplace_back();
    fresh.lender = from.lender;
    fresh.other_region = from.other_region;
    fresh.used_at = now;
    fresh.retry_delay = std::chrono::milliseconds(25);
    return fresh;
}

} // namespace

bool ledger::request_loans(account& team_account, base::team_id team, micro_tokens missing,
                           const context& ctx, base::time_point now, effects& result)
{
    const auto* team_rules = ctx.book->find(team);
    if (team_rules == nullptr) {
        return false;
    }
    const auto ahead = expected_demand(team_account, m_settings.prefetch, now);
    auto uncovered = missing;
    bool sent = false;
    // Ask as many lenders at once as are expected to cover the missing tokens, local ones first.
    for (const auto& each : candidates_of(*team_rules, team_account, ctx, now)) {
        if (uncovered <= zero) {
            break;
        }
        m_borrowing_teams.insert(team);
        send_request(team_account, debt_to(team_account, each, now), team, uncovered,
                     uncovered + ahead, now, result);
        uncovered -= each.expected;
        sent = true;
    }
    return sent;
}

void ledger::balance(account& team_account, base::team_id team, micro_tokens spent,
                     const context& ctx, base::time_point now, effects& result)
{
    // Spending from the fullest bucket first loses the fewest tokens, as a full bucket cannot mint.
    constexpr std::int64_t balanced_level_per_mille = 700;
    const auto level = level_per_mille(team_account);
    const auto* team_rules = ctx.book->find(team);
    // A single request is no reason to borrow in advance.
    const auto demand = expected_demand(team_account, std::chrono::seconds(1), now);
    if (demand.value() * 2 < spent.value() * 3) {
        return;
    }
    if (level >= balanced_level_per_mille || team_rules == nullptr ||
        now - team_account.balanced_at < m_settings.balance_interval) {
        return;
    }
    team_account.balanced_at = now;
    const auto lenders = candidates_of(*team_rules, team_account, ctx, now);
    const auto fullest = std::ranges::max_element(lenders, {}, &candidate::expected);
    const auto ahead = expected_demand(team_account, m_settings.prefetch, now);
    if (fullest != lenders.end() && ahead > zero) {
        m_borrowing_teams.insert(team);
        send_request(team_account, debt_to(team_account, *fullest, now), team, zero, ahead, now,
                     result);
    }
}

void ledger::send_request(account& team_account, debt& to, base::team_id team, micro_tokens need,
                          micro_tokens want, base::time_point now, effects& result)
{
    if (to.until <= now) {
        to.amount = zero;
    }
    loan_request request;
    request.team = team;
    request.request = ++m_last_request;
    request.need = need;
    request.want = std::min(want, to_micro(team_account.burst));
    request.holding = to.amount;
    request.refunds = std::exchange(to.refunds, {});
    request.other_region = to.other_region;
    request.level_per_mille = level_per_mille(team_account);
    to.need = need;
    to.reported = to.amount;
    to.request = request.request;
    to.requested_at = now;
    to.pending = true;
    result.messages.push_back({to.lender, request});
}

void ledger::on_request(const process_id& from, const loan_request& request, const context& ctx,
                        base::time_point now, effects& result)
{
    loan_grant grant;
    grant.team = request.team;
    grant.request = request.request;
    grant.stamp = to_stamp(now);
    grant.version = ctx.book ? ctx.book->version() : base::config_version{};
    const auto* team_rules = ctx.book ? ctx.book->find(request.team) : nullptr;
    if (team_rules != nullptr) {
        auto& team_account = open(*team_rules, ctx, now);
        const loan_report report{request.request, request.holding, request.returned};
        const auto accepted = team_account.own.accept(
            from, report, request.other_region, now + with_drift_margin(m_settings.loan_term), now);
        if (!accepted) {
            return;
        }
        if (accepted->known) {
            for (const auto& each : request.refunds) {
                team_account.own.refund(std::max(each.amount, zero), from_stamp(each.stamp), now);
            }
        }
        // The need is met from the whole balance. More is lent only as long as this bucket stays
        // fuller than the borrower's and keeps the demand expected here soon.
        const auto need = std::clamp(request.need, zero, to_micro(team_rules->burst));
        const auto level = std::clamp<std::int64_t>(request.level_per_mille, 0, 1000);
        const auto keep =
            std::max(expected_demand(team_account, m_settings.prefetch, now),
                     micro_tokens{team_account.own.present_limits().cap.value() / 1000 * level});
        const auto spare = team_account.own.balance() - need - keep;
        const auto more = std::min(request.want - need, micro_tokens{spare.value() / 2});
        grant.amount = team_account.own.lend(from, need + std::max(more, zero), now);
        grant.holding = accepted->holding;
        grant.left = team_account.own.balance();
        const auto refill = time_to_mint(team_account.own.present_limits().rate,
                                         team_account.own.present_limits().cap);
        team_account.keep_until =
            std::max(team_account.keep_until, now + with_drift_margin(refill));
    }
    result.messages.push_back({from.vm, grant});
}

void ledger::on_grant(const process_id& lender, const loan_grant& grant, const context& ctx,
                      base::time_point now, effects& result)
{
    auto* team_account = refreshed(grant.team, ctx, now);
    if (team_account == nullptr) {
        return;
    }
    const auto owed = std::ranges::find(team_account->debts, lender.vm, &debt::lender);
    if (owed == team_account->debts.end() || owed->request == 0 || owed->request != grant.request) {
        return;
    }
    owed->pending = false;
    owed->request = 0;
    owed->left = grant.left;
    if (owed->process != lender.process) {
        owed->amount = zero;
        owed->process = lender.process;
    }
    const auto until = owed->requested_at + m_settings.loan_term;
    // A lender with older rules may lend more than the current rules allow.
    const bool up_to_date = ctx.book && grant.version >= ctx.book->version();
    if (until > now && up_to_date) {
        owed->amount = std::min(owed->amount, grant.holding) + grant.amount;
        owed->reported = owed->amount;
        owed->until = until;
        owed->stamp = grant.stamp;
        owed->granted_at = now;
    }
    // The delay doubles, up to a limit, while the lender has nothing to lend.
    const bool need_met = grant.amount >= owed->need && owed->need > zero;
    const bool nothing_lent = grant.amount <= zero && owed->need > zero;
    owed->retry_delay = nothing_lent
                            ? std::min(owed->retry_delay * 2, m_settings.max_request_interval)
                            : m_settings.min_request_interval;
    owed->next_request_at = need_met ? now : now + owed->retry_delay;
    if (now >= team_account->wanted_until) {
        return;
    }
    team_account->own.mint(now);
    const auto present = available(*team_account, now);
    const bool enough = present >= team_account->wanted;
    if (!enough && std::ranges::any_of(team_account->debts, &debt::pending)) {
        return;
    }
    if (enough || !request_loans(*team_account, grant.team, team_account->wanted - present, ctx,
                                 now, result)) {
        team_account->wanted_until = now;
        result.ready.push_back(grant.team);
    }
}

void ledger::tick_debts(account& team_account, base::team_id team, base::time_point now,
                        effects& result)
{
    constexpr base::nanoseconds report_interval = std::chrono::milliseconds(500);
    constexpr base::nanoseconds unresponsive_delay = std::chrono::seconds(1);
    for (auto& each : team_account.debts) {
        if (each.until <= now) {
            each.amount = zero;
        }
        const auto timeout =
            each.other_region ? m_settings.remote_loan_timeout : m_settings.local_loan_timeout;
        if (each.pending && now - each.requested_at >= timeout) {
            each.pending = false;
            each.next_request_at = now + unresponsive_delay;
            each.left.reset();
        }
        if (each.pending || now - each.requested_at < report_interval ||
            now < each.next_request_at) {
            continue;
        }
        if (each.amount > zero && now - each.used_at >= m_settings.return_after) {
            const auto returned = std::exchange(each.amount, zero);
            send_request(team_account, each, team, zero, zero, now, result);
            std::get<loan_request>(result.messages.back().body).returned = returned;
            continue;
        }
        const bool spent_much = each.amount.value() * 4 < each.reported.value() * 3;
        const bool renew =
            each.amount > zero && now - each.requested_at >= m_settings.loan_term / 2;
        // A busy team needs its refunds soon; others report them together with returned tokens.
        micro_tokens refund;
        for (const auto& unused : each.refunds) {
            refund += unused.amount;
        }
        const bool busy = expected_demand(team_account, std::chrono::seconds(1), now) >= refund;
        const bool refund_due =
            refund > zero && (busy || now - each.requested_at >= m_settings.return_after);
        if (refund_due || spent_much || renew) {
            const auto ahead = expected_demand(team_account, m_settings.prefetch, now);
            const auto want = std::max(ahead - available(team_account, now), zero);
            send_request(team_account, each, team, zero, want, now, result);
        }
    }
    std::erase_if(team_account.debts, [&](const debt& each) {
        return !each.pending && each.amount <= zero && each.refunds.empty() &&
               now - each.used_at >= m_settings.loan_term &&
               now - each.requested_at >= m_settings.loan_term;
    });
}

void ledger::tick(const context& ctx, base::time_point now, effects& result)
{
    std::erase_if(m_borrowing_teams, [&](base::team_id team) {
        auto* team_account = refreshed(team, ctx, now);
        if (team_account == nullptr) {
            return true;
        }
        team_account->own.mint(now);
        tick_debts(*team_account, team, now, result);
        return team_account->debts.empty();
    });
    drop_idle_accounts(ctx, now);
}

void ledger::return_loans(base::time_point now, effects& result)
{
    for (const auto team : m_borrowing_teams) {
        auto& team_account = m_accounts.at(team);
        for (auto& each : team_account.debts) {
            if (valid_amount(each, now) > zero) {
                const auto returned = std::exchange(each.amount, zero);
                send_request(team_account, each, team, zero, zero, now, result);
                std::get<loan_request>(result.messages.back().body).returned = returned;
            }
        }
    }
}

void ledger::drop_loans(const slot_set& slots, const context& ctx)
{
    for (const auto team : m_borrowing_teams) {
        const auto* team_rules = ctx.book ? ctx.book->find(team) : nullptr;
        auto& team_account = m_accounts.at(team);
        if (team_rules != nullptr && (slots_of(team, split_of(*team_rules).parts) & slots).none()) {
            continue;
        }
        drop_debts(team_account);
    }
}

} // namespace chicorylink::budget
