#include "chicorylink/fleet/subject_quarantines.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::fleet {

base::milliseconds quarantine_time(crash_subject_kind kind, std::uint32_t number)
{
    if (kind == crash_subject_kind::whole_request && number > 1) {
        return max_quarantine_time;
    }
    auto time = first_quarantine_time;
    for (std::uint32_t done = 1; done < number && time < max_quarantine_time; ++done) {
        time *= 2;
    }
    return std::min(time, max_quarantine_time);
}

void subject_quarantines::store(crash_subject subject, const quarantine& entry)
{
    if (!m_subjects.contains(subject) && m_subjects.size() >= max_quarantined_subjects) {
        m_subjects.erase(std::min_element(
            m_subjects.begin(), m_subjects.end(),
            [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
    }
    m_subjects[subject] = entry;
}

void subject_quarantines::begin(crash_subject subject, base::time_point last_crash_at)
{
    store(subject,
          {1, last_crash_at, last_crash_at + quarantine_time(subject.kind, 1), false, false});
}

bool subject_quarantines::on_crash(crash_subject subject, base::time_point at)
{
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || found->second.is_released ||
        at <= found->second.last_crash_at) {
        return false;
    }
    auto& entry = found->second;
    const bool is_again = at >= entry.until;
    entry.number += is_again ? 1 : 0;
    entry.last_crash_at = at;
    entry.until = at + quarantine_time(subject.kind, entry.number);
    entry.end_reported = false;
    return is_again;
}

bool subject_quarantines::adopt(const quarantine_report& report, base::time_point survived_at,
                                base::milliseconds delay, base::time_point now)
{
    const auto time = quarantine_time(report.subject.kind, report.number);
    const auto left = std::min(report.left, time) - delay;
    const auto found = m_subjects.find(report.subject);
    const auto known = found == m_subjects.end() ? 0 : found->second.number;
    const auto until = now + left;
    if (left.count() <= 0 || report.number <= known || survived_at >= until - time) {
        return false;
    }
    store(report.subject, {report.number, until - time, until, false, false});
    return true;
}

bool subject_quarantines::release(crash_subject subject, base::time_point survived_at,
                                  base::time_point now)
{
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || survived_at <= found->second.last_crash_at ||
        std::exchange(found->second.is_released, true)) {
        return false;
    }
    return now < found->second.until;
}

std::optional<base::milliseconds> subject_quarantines::time_left(crash_subject subject,
                                                                 base::time_point now) const
{
    const auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || found->second.is_released || now >= found->second.until) {
        return std::nullopt;
    }
    return std::chrono::ceil<base::milliseconds>(found->second.until - now);
}

std::vector<crash_subject> subject_quarantines::known_subjects() const
{
    std::vector<crash_subject> subjects;
    subjects.reserve(m_subjects.size());
    for (const auto& [subject, entry] : m_subjects) {
        subjects.push_back(subject);
    }
    return subjects;
}

std::vector<crash_subject> subject_quarantines::unreleased_subjects() const
{
    std::vector<crash_subject> subjects;
    for (const auto& [subject, entry] : m_subjects) {
        if (!entry.is_released) {
            subjects.push_back(subject);
        }
    }
    return subjects;
}

std::vector<quarantine_report> subject_quarantines::reports(base::time_point now) const
{
    std::vector<quarantine_report> list;
    for (const auto& [subject, entry] : m_subjects) {
        if (const auto left = time_left(subject, now)) {
            list.push_back({subject, entry.number, *left});
        }
    }
    return list;
}

std::vector<crash_subject> subject_quarantines::expire(base::time_point now)
{
    std::vector<crash_subject> ended;
    for (auto& [subject, entry] : m_subjects) {
        if (now >= entry.until && !std::exchange(entry.end_reported, true) && !entry.is_released) {
            ended.push_back(subject);
        }
    }
    std::erase_if(m_subjects, [&](const auto& known) {
        const auto& entry = known.second;
        const auto probation = entry.is_released ? base::milliseconds{0}
                                                 : quarantine_time(known.first.kind, entry.number);
        return now >= entry.until + probation;
    });
    return ended;
}

} // namespace chicorylink::fleet
