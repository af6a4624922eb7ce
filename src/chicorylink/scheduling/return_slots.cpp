#include "chicorylink/scheduling/return_slots.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace chicorylink::scheduling {
namespace {

constexpr double ms_per_second = 1000;

std::int64_t slot_number(base::time_point at)
{
    return at.time_since_epoch() / return_slots::slot_length;
}

base::time_point start_of(std::int64_t slot)
{
    return base::time_point{slot * return_slots::slot_length};
}

std::size_t index_of(std::uint8_t rank)
{
    return std::min<std::size_t>(rank, return_slots::rank_count - 1);
}

} // namespace

void return_slots::expire(base::time_point now)
{
    m_slots.erase(m_slots.begin(), m_slots.lower_bound(slot_number(now)));
}

return_time return_slots::reserve(const return_request& request, base::time_point now)
{
    expire(now);
    const auto free_at = now + std::max(request.earliest, base::milliseconds{0});
    const auto first = slot_number(free_at + slot_length - base::time_point::duration{1});
    const auto last = slot_number(now) + slot_count;
    // With one more caller, the callers up to each slot must not exceed what begins until then.
    auto chosen = first;
    std::uint32_t reserved = 0;
    for (const auto& [slot, ranks] : m_slots) {
        reserved = std::accumulate(ranks.begin(), ranks.end(), reserved);
        const auto until = std::chrono::duration<double>(start_of(slot) - free_at).count();
        const double begun = std::max(0.0, until) * request.per_second;
        if (static_cast<double>(reserved) > begun) {
            // Until the capacity has caught up with these reservations.
            const base::milliseconds caught_up{static_cast<std::int64_t>(
                std::ceil(static_cast<double>(reserved) / request.per_second * ms_per_second))};
            chosen = std::max(first, slot_number(free_at + caught_up + slot_length -
                                                 base::time_point::duration{1}));
        }
    }
    return_time given;
    given.wait = std::chrono::ceil<base::milliseconds>(start_of(chosen) - now);
    given.reservations = reserved;
    const auto honoured = static_cast<double>(request.time_left.count()) * honoured_fraction;
    given.is_reserved =
        request.may_return && chosen < last && static_cast<double>(given.wait.count()) <= honoured;
    if (given.is_reserved) {
        ++m_slots[chosen].at(index_of(request.rank));
    }
    return given;
}

std::uint32_t return_slots::due_within(base::milliseconds time, std::uint8_t rank,
                                       base::time_point now) const
{
    std::uint32_t due = 0;
    const auto end = m_slots.upper_bound(slot_number(now + time));
    for (auto slot = m_slots.lower_bound(slot_number(now)); slot != end; ++slot) {
        const auto& ranks = slot->second;
        due = std::accumulate(ranks.begin(), ranks.begin() + index_of(rank) + 1, due);
    }
    return due;
}

} // namespace chicorylink::scheduling
