#include "chicorylink/fleet/part_quarantines.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::fleet {

base::milliseconds quarantine_time(std::uint32_t number)
{
    auto time = first_quarantine_time;
    for (std::uint32_t done = 1; done < number && time < max_quarantine_time; ++done) {
        time *= 2;
    }
    return std::min(time, max_quarantine_time);
}

void part_quarantines::store(prompt_part_id part, const quarantine& entry)
{
    if (!m_parts.contains(part) && m_parts.size() >= max_quarantined_parts) {
        m_parts.erase(
            std::min_element(m_parts.begin(), m_parts.end(), [](const auto& a, const auto& b) {
                return a.second.until < b.second.until;
            }));
    }
    m_parts[part] = entry;
}

void part_quarantines::begin(prompt_part_id part, base::time_point last_crash_at)
{
    store(part, {1, last_crash_at, last_crash_at + quarantine_time(1), false, false});
}

bool part_quarantines::on_crash(prompt_part_id part, base::time_point at)
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end() || found->second.is_released || at <= found->second.last_crash_at) {
        return false;
    }
    auto& entry = found->second;
    const bool is_again = at >= entry.until;
    entry.number += is_again ? 1 : 0;
    entry.last_crash_at = at;
    entry.until = at + quarantine_time(entry.number);
    entry.end_reported = false;
    return is_again;
}

bool part_quarantines::adopt(const quarantine_report& report, base::time_point survived_at,
                             base::milliseconds delay, base::time_point now)
{
    const auto time = quarantine_time(report.number);
    const auto left = std::min(report.left, time) - delay;
    const auto found = m_parts.find(report.part);
    const auto known = found == m_parts.end() ? 0 : found->second.number;
    const auto until = now + left;
    if (left.count() <= 0 || report.number <= known || survived_at >= until - time) {
        return false;
    }
    store(report.part, {report.number, until - time, until, false, false});
    return true;
}

bool part_quarantines::release(prompt_part_id part, base::time_point survived_at,
                               base::time_point now)
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end() || survived_at <= found->second.last_crash_at ||
        std::exchange(found->second.is_released, true)) {
        return false;
    }
    return now < found->second.until;
}

std::optional<base::milliseconds> part_quarantines::time_left(prompt_part_id part,
                                                              base::time_point now) const
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end() || found->second.is_released || now >= found->second.until) {
        return std::nullopt;
    }
    return std::chrono::ceil<base::milliseconds>(found->second.until - now);
}

std::vector<prompt_part_id> part_quarantines::known_parts() const
{
    std::vector<prompt_part_id> parts;
    parts.reserve(m_parts.size());
    for (const auto& [part, entry] : m_parts) {
        parts.push_back(part);
    }
    return parts;
}

std::vector<prompt_part_id> part_quarantines::unreleased_parts() const
{
    std::vector<prompt_part_id> parts;
    for (const auto& [part, entry] : m_parts) {
        if (!entry.is_released) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::vector<quarantine_report> part_quarantines::reports(base::time_point now) const
{
    std::vector<quarantine_report> list;
    for (const auto& [part, entry] : m_parts) {
        if (const auto left = time_left(part, now)) {
            list.push_back({part, entry.number, *left});
        }
    }
    return list;
}

std::vector<prompt_part_id> part_quarantines::expire(base::time_point now)
{
    std::vector<prompt_part_id> ended;
    for (auto& [part, entry] : m_parts) {
        if (now >= entry.until && !std::exchange(entry.end_reported, true) && !entry.is_released) {
            ended.push_back(part);
        }
    }
    std::erase_if(m_parts, [&](const auto& known) {
        const auto& entry = known.second;
        const auto probation =
            entry.is_released ? base::milliseconds{0} : quarantine_time(entry.number);
        return now >= entry.until + probation;
    });
    return ended;
}

} // namespace chicorylink::fleet
