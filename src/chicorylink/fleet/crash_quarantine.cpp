#include "chicorylink/fleet/crash_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::fleet {

std::string_view to_string(quarantine_cause cause)
{
    switch (cause) {
    case quarantine_cause::crashes:
        return "crashes";
    case quarantine_cause::crash_on_probation:
        return "crash_on_probation";
    case quarantine_cause::reported:
        return "reported";
    case quarantine_cause::survived:
        return "survived";
    case quarantine_cause::expired:
        return "expired";
    }
    return "unknown";
}

bool is_begin(quarantine_cause cause)
{
    return cause == quarantine_cause::crashes || cause == quarantine_cause::crash_on_probation ||
           cause == quarantine_cause::reported;
}

std::optional<active_quarantine> crash_quarantine::find(std::span<const crash_subject> subjects,
                                                        base::time_point now) const
{
    std::optional<active_quarantine> longest;
    for (const auto subject : subjects) {
        const auto left = m_quarantines.time_left(subject, now);
        if (left && (!longest || *left > longest->left)) {
            longest = {subject.kind, *left};
        }
    }
    return longest;
}

void crash_quarantine::note_request(std::span<const crash_subject> subjects, base::time_point now)
{
    m_evidence.note_request(subjects, now);
}

void crash_quarantine::note_crash(std::span<const crash_subject> subjects, const target_run& run,
                                  base::time_point now)
{
    m_evidence.note_crash(subjects, run, now);
}

void crash_quarantine::note_unconfirmed_end(std::span<const crash_subject> subjects,
                                            const target_run& run, base::time_point now)
{
    m_evidence.note_unconfirmed_end(subjects, run, now);
}

void crash_quarantine::note_survival(std::span<const crash_subject> subjects,
                                     base::time_point begun_at, base::time_point now)
{
    m_evidence.note_survival(subjects, begun_at, now);
}

void crash_quarantine::apply(const crash_reports& reports, bool is_relayed,
                             base::milliseconds delay, base::time_point now)
{
    m_evidence.apply(reports, is_relayed, delay, now);
    for (const auto& report : reports.quarantines) {
        if (m_quarantines.adopt(report, m_evidence.survived_at(report.subject), delay, now)) {
            m_changes.push_back({report.subject, quarantine_cause::reported, 0});
        }
    }
}

std::vector<quarantine_change> crash_quarantine::update(base::time_point now)
{
    m_evidence.expire(now);
    for (const auto subject : m_quarantines.expire(now)) {
        m_changes.push_back({subject, quarantine_cause::expired, 0});
    }
    for (const auto subject : m_quarantines.known_subjects()) {
        if (m_quarantines.on_crash(subject, m_evidence.last_crash(subject))) {
            m_changes.push_back({subject, quarantine_cause::crash_on_probation, 1});
        }
        if (m_quarantines.release(subject, m_evidence.survived_at(subject), now)) {
            m_changes.push_back({subject, quarantine_cause::survived, 0});
        }
    }
    for (const auto& suspect : m_evidence.suspects(m_quarantines.unreleased_subjects(), now)) {
        m_quarantines.begin(suspect.subject, suspect.last_crash_at);
        m_changes.push_back({suspect.subject, quarantine_cause::crashes, suspect.crashes});
    }
    return std::exchange(m_changes, {});
}

crash_reports crash_quarantine::take_own(base::time_point now)
{
    return m_evidence.take_own(m_quarantines.known_subjects(), now);
}

crash_reports crash_quarantine::digest_reports(base::time_point now) const
{
    auto reports = m_evidence.recent(m_quarantines.known_subjects(), now);
    reports.quarantines = m_quarantines.reports(now);
    return reports;
}

} // namespace chicorylink::fleet
