#include "chicorylink/budget/bucket.hpp"

#include <algorithm>

namespace chicorylink::budget {
namespace {

constexpr micro_tokens none{0};
/// Peaks closer together than this part of the cap share an entry, which bounds their number.
constexpr std::int64_t peak_steps = 16;

micro_tokens at_least_none(micro_tokens amount)
{
    return std::max(amount, none);
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
    const auto room = at_least_none(m_limits.cap - m_balance - lent());
    m_balance += std::min(fresh, room);
    m_minted_until = until;
    note_peak(until);
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

void bucket::note_peak(base::time_point now)
{
    const auto height = m_balance + lent();
    if (m_peaks.empty()) {
        m_peaks.push_back({now, height});
        return;
    }
    m_peaks.back().height = std::max(m_peaks.back().height, height);
    merge_peaks();
}

micro_tokens bucket::peak_step() const
{
    return micro_tokens{std::max<std::int64_t>(1, m_limits.cap.value() / peak_steps)};
}

void bucket::merge_peaks()
{
    // Joining two entries keeps the earlier start and the greater height, which is cautious.
    const auto least_gap = micro_tokens{peak_step().value() / 2};
    for (std::size_t later = m_peaks.size(); later-- > 1;) {
        auto& earlier = m_peaks[later - 1];
        if (earlier.height - m_peaks[later].height <= least_gap) {
            earlier.height = std::max(earlier.height, m_peaks[later].height);
            m_peaks.erase(m_peaks.begin() + static_cast<std::ptrdiff_t>(later));
        }
    }
}

void bucket::note_fall(base::time_point now)
{
    const auto height = m_balance + lent();
    if (m_peaks.empty() || m_peaks.back().height - height >= peak_step()) {
        m_peaks.push_back({now, height});
    }
}

void bucket::set_limits(const limits& value, base::time_point now)
{
    mint(now);
    m_limits = value;
    m_balance = std::min(m_balance, at_least_none(m_limits.cap - lent()));
}

void bucket::attach(const limits& added, micro_tokens balance, micro_tokens lent_before,
                    base::time_point lent_until, base::time_point now)
{
    mint(now);
    m_limits.cap += added.cap;
    m_limits.rate += added.rate;
    m_limits.abroad += added.abroad;
    const auto inherited = lent_until > now ? std::min(lent_before, added.cap) : none;
    if (inherited > none) {
        m_loans.push_back({borrower{}, 0, inherited, lent_until, true});
    }
    m_balance += std::min(balance, added.cap - inherited);
    // How high the slot stood before is unknown here: it counts as full.
    for (auto& each : m_peaks) {
        each.height += added.cap;
    }
    note_peak(now);
}

bucket::part bucket::detach(const limits& removed, std::int64_t slots, base::time_point now)
{
    mint(now);
    part gone;
    gone.balance = std::min(micro_tokens{m_balance.value() / slots}, removed.cap);
    // Rounded up: the new owner counts at least its part of the loans.
    gone.lent = std::min(micro_tokens{(lent().value() + slots - 1) / slots}, removed.cap);
    m_balance -= gone.balance;
    m_limits.cap -= removed.cap;
    m_limits.rate -= removed.rate;
    m_limits.abroad -= removed.abroad;
    return gone;
}

micro_tokens bucket::take(micro_tokens wanted, base::time_point now)
{
    mint(now);
    const auto amount = std::min(at_least_none(m_balance), wanted);
    m_balance -= amount;
    note_fall(now);
    return amount;
}

micro_tokens bucket::refund(micro_tokens unused, base::time_point taken_at, base::time_point now)
{
    mint(now);
    const auto after = std::ranges::upper_bound(m_peaks, taken_at, {}, &peak::since);
    if (after == m_peaks.begin()) {
        return none;
    }
    const auto from = std::prev(after);
    const auto room = at_least_none(m_limits.cap - from->height);
    const auto amount = std::min(unused, room);
    if (amount <= none) {
        return none;
    }
    m_balance += amount;
    for (auto each = from; each != m_peaks.end(); ++each) {
        each->height += amount;
    }
    merge_peaks();
    return amount;
}

std::optional<bucket::acceptance> bucket::accept(const borrower& who, const loan_report& report,
                                                 bool other_region, base::time_point until,
                                                 base::time_point now)
{
    mint(now);
    const auto known = std::ranges::find(m_loans, who, &loan::who);
    if (known == m_loans.end()) {
        m_loans.push_back({who, report.request, none, until, other_region});
        return acceptance{none, false};
    }
    if (report.request <= known->request) {
        return std::nullopt;
    }
    const auto returned = std::clamp(report.returned, none, known->amount);
    const auto holding = std::clamp(report.holding, none, known->amount - returned);
    m_balance += returned;
    known->request = report.request;
    known->amount = holding;
    known->until = until;
    note_fall(now);
    return acceptance{holding, true};
}

void bucket::forget(const borrower& who, base::time_point now)
{
    mint(now);
    std::erase_if(m_loans, [&who](const loan& each) { return each.who == who; });
    note_fall(now);
}

micro_tokens bucket::lend(const borrower& who, micro_tokens wanted, base::time_point now)
{
    mint(now);
    const auto target = std::ranges::find(m_loans, who, &loan::who);
    if (target == m_loans.end()) {
        return none;
    }
    auto amount = std::min(wanted, m_balance);
    if (target->other_region) {
        micro_tokens abroad;
        for (const auto& each : m_loans) {
            abroad += each.other_region ? each.amount : none;
        }
        amount = std::min(amount, m_limits.abroad - abroad);
    }
    amount = at_least_none(amount);
    m_balance -= amount;
    target->amount += amount;
    return amount;
}

} // namespace chicorylink::budget
