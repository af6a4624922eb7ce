#include "chicorylink/budget/bucket.hpp"

#include <algorithm>

namespace chicorylink::budget {
namespace {

constexpr micro_tokens zero{0};
/// Totals that differ by less than 1 / peak_steps of the cap share a peak entry, which limits the
/// number of entries.
constexpr std::int64_t peak_steps = 16;

micro_tokens non_negative(micro_tokens amount)
{
    return std::max(amount, zero);
}

} // namespace

micro_tokens bucket::lent() const
{
    micro_tokens sum;
    for (const auto& each : m_loans) {
        sum += each.amount;
    }
    return sum;
}

bool bucket::is_idle() const
{
    return m_loans.empty() && m_balance >= m_limits.cap;
}

void bucket::mint_step(base::time_point until)
{
    if (until <= m_minted_until) {
        return;
    }
    const auto fresh = minted(m_limits.rate, until - m_minted_until);
    const auto room = non_negative(m_limits.cap - m_balance - lent());
    m_balance += std::min(fresh, room);
    m_minted_until = until;
    raise_last_peak(until);
}

void bucket::drop_expired(base::time_point now)
{
    std::erase_if(m_loans, [now](const loan& each) { return each.until <= now; });
}

void bucket::mint(base::time_point now)
{
    // An expired loan leaves room only from its expiry on: mint up to each expiry in turn.
    while (!m_loans.empty()) {
        const auto first = std::ranges::min_element(m_loans, {}, &loan::until);
        if (first->until > now) {
            break;
        }
        mint_step(first->until);
        drop_expired(first->until);
    }
    mint_step(now);
}

void bucket::raise_last_peak(base::time_point now)
{
    const auto total = m_balance + lent();
    if (m_peaks.empty()) {
        m_peaks.push_back({now, total});
        return;
    }
    m_peaks.back().total = std::max(m_peaks.back().total, total);
    merge_peaks();
}

micro_tokens bucket::peak_step() const
{
    return micro_tokens{std::max<std::int64_t>(1, m_limits.cap.value() / peak_steps)};
}

void bucket::merge_peaks()
{
    // A merged entry keeps the earlier start and the greater total, which is the safe choice.
    const auto min_gap = micro_tokens{peak_step().value() / 2};
    for (std::size_t later = m_peaks.size(); later-- > 1;) {
        auto& earlier = m_peaks[later - 1];
        if (earlier.total - m_peaks[later].total <= min_gap) {
            earlier.total = std::max(earlier.total, m_peaks[later].total);
            m_peaks.erase(m_peaks.begin() + static_cast<std::ptrdiff_t>(later));
        }
    }
}

void bucket::add_lower_peak(base::time_point now)
{
    const auto total = m_balance + lent();
    if (m_peaks.empty() || m_peaks.back().total - total >= peak_step()) {
        m_peaks.push_back({now, total});
    }
}

void bucket::set_limits(const limits& value, base::time_point now)
{
    mint(now);
    m_limits = value;
    m_balance = std::min(m_balance, non_negative(m_limits.cap - lent()));
}

void bucket::attach(const limits& added, micro_tokens balance, micro_tokens lent_before,
                    base::time_point lent_until, base::time_point now)
{
    mint(now);
    m_limits.cap += added.cap;
    m_limits.rate += added.rate;
    m_limits.other_region_cap += added.other_region_cap;
    const auto inherited = lent_until > now ? std::min(lent_before, added.cap) : zero;
    if (inherited > zero) {
        m_loans.push_back({process_id{}, 0, inherited, lent_until, true});
    }
    m_balance += std::min(balance, added.cap - inherited);
    // The slot's earlier totals are unknown here: it counts as full.
    for (auto& each : m_peaks) {
        each.total += added.cap;
    }
    raise_last_peak(now);
}

bucket::detached_part bucket::detach(const limits& removed, std::int64_t slots,
                                     base::time_point now)
{
    mint(now);
    detached_part detached;
    detached.balance = std::min(micro_tokens{m_balance.value() / slots}, removed.cap);
    // Rounded up: the new owner must count at least its share of the loans.
    detached.lent = std::min(micro_tokens{(lent().value() + slots - 1) / slots}, removed.cap);
    m_balance -= detached.balance;
    m_limits.cap -= removed.cap;
    m_limits.rate -= removed.rate;
    m_limits.other_region_cap -= removed.other_region_cap;
    return detached;
}

micro_tokens bucket::take(micro_tokens wanted, base::time_point now)
{
    mint(now);
    const auto amount = std::min(non_negative(m_balance), wanted);
    m_balance -= amount;
    add_lower_peak(now);
    return amount;
}

micro_tokens bucket::refund(micro_tokens unused, base::time_point taken_at, base::time_point now)
{
    mint(now);
    const auto after = std::ranges::upper_bound(m_peaks, taken_at, {}, &peak::since);
    if (after == m_peaks.begin()) {
        return zero;
    }
    const auto from = std::prev(after);
    const auto room = non_negative(m_limits.cap - from->total);
    const auto amount = std::min(unused, room);
    if (amount <= zero) {
        return zero;
    }
    m_balance += amount;
    for (auto each = from; each != m_peaks.end(); ++each) {
        each->total += amount;
    }
    merge_peaks();
    return amount;
}

std::optional<bucket::acceptance> bucket::accept(const process_id& borrower,
                                                 const loan_report& report, bool other_region,
                                                 base::time_point until, base::time_point now)
{
    mint(now);
    const auto known = std::ranges::find(m_loans, borrower, &loan::borrower);
    if (known == m_loans.end()) {
        m_loans.push_back({borrower, report.request, zero, until, other_region});
        return acceptance{zero, false};
    }
    if (report.request <= known->request) {
        return std::nullopt;
    }
    const auto returned = std::clamp(report.returned, zero, known->amount);
    const auto holding = std::clamp(report.holding, zero, known->amount - returned);
    m_balance += returned;
    known->request = report.request;
    known->amount = holding;
    known->until = until;
    add_lower_peak(now);
    return acceptance{holding, true};
}

void bucket::drop_loans_of(const process_id& borrower, base::time_point now)
{
    mint(now);
    std::erase_if(m_loans, [&borrower](const loan& each) { return each.borrower == borrower; });
    add_lower_peak(now);
}

micro_tokens bucket::lend(const process_id& borrower, micro_tokens wanted, base::time_point now)
{
    mint(now);
    const auto target = std::ranges::find(m_loans, borrower, &loan::borrower);
    if (target == m_loans.end()) {
        return zero;
    }
    auto amount = std::min(wanted, m_balance);
    if (target->other_region) {
        micro_tokens lent_to_other_regions;
        for (const auto& each : m_loans) {
            lent_to_other_regions += each.other_region ? each.amount : zero;
        }
        amount = std::min(amount, m_limits.other_region_cap - lent_to_other_regions);
    }
    amount = non_negative(amount);
    m_balance -= amount;
    target->amount += amount;
    return amount;
}

} // namespace chicorylink::budget
