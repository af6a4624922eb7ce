#include "chicorylink/scheduling/begin_meter.hpp"

#include <algorithm>

namespace chicorylink::scheduling {
namespace {

constexpr auto slots_as_signed = static_cast<std::int64_t>(begin_meter::slot_count);

std::int64_t slot_number(base::time_point at)
{
    return at.time_since_epoch() / begin_meter::slot_length;
}

} // namespace

void begin_meter::note(base::time_point now)
{
    const auto number = slot_number(now);
    auto& current = m_slots.at(static_cast<std::size_t>(number % slots_as_signed));
    if (current.number != number) {
        current = {number, 0};
    }
    ++current.begins;
    m_first = m_first.value_or(now);
}

std::optional<double> begin_meter::per_second(base::time_point now) const
{
    const auto number = slot_number(now);
    std::uint32_t begins = 0;
    for (const auto& known : m_slots) {
        const bool is_recent = known.number > number - slots_as_signed && known.number <= number;
        begins += is_recent ? known.begins : 0;
    }
    if (begins < min_begins || now - *m_first < min_time) {
        return std::nullopt;
    }
    const base::time_point oldest{(number - slots_as_signed + 1) * slot_length};
    const auto covered = std::chrono::duration<double>(now - std::max(oldest, *m_first));
    return static_cast<double>(begins) / covered.count();
}

} // namespace chicorylink::scheduling
