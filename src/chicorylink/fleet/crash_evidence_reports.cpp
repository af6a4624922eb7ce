#include "chicorylink/fleet/crash_evidence.hpp"

#include <algorithm>
#include <utility>

// The subject of `crash_evidence` that makes reports for other VMs.

namespace chicorylink::fleet {
namespace {

/// How often the survival of a subject that stays in use is reported.
constexpr base::milliseconds survival_report_interval{250};

base::milliseconds age_of(base::time_point then, base::time_point now)
{
    return std::chrono::duration_cast<base::milliseconds>(now - then);
}

bool is_in(const std::vector<crash_subject>& subjects, crash_subject subject)
{
    return std::find(subjects.begin(), subjects.end(), subject) != subjects.end();
}

/// @brief Whether a list of reports takes another one about a subject of this kind.
template <class Report>
bool has_room(const std::vector<Report>& reports, crash_subject_kind kind, std::size_t bound)
{
    return static_cast<std::size_t>(
               std::count_if(reports.begin(), reports.end(), [&](const Report& report) {
                   return report.subject.kind == kind;
               })) < bound;
}

} // namespace

std::vector<crash_subject>
crash_evidence::reported_subjects(const std::vector<crash_subject>& known) const
{
    std::vector<std::pair<std::size_t, crash_subject>> ranked;
    for (const auto& [subject, entry] : m_subjects) {
        ranked.emplace_back(live_count(entry), subject);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<crash_subject> subjects = known;
    for (const auto& [count, subject] : ranked) {
        if (!is_in(known, subject)) {
            subjects.push_back(subject);
        }
    }
    return subjects;
}

crash_reports crash_evidence::take_own(const std::vector<crash_subject>& known,
                                       base::time_point now)
{
    crash_reports reports;
    for (const auto subject : reported_subjects(known)) {
        const auto evidence_of = m_subjects.find(subject);
        if (evidence_of != m_subjects.end()) {
            for (auto& item : evidence_of->second.crashes) {
                if (item.sends_left > 0 &&
                    has_room(reports.crashes, subject.kind, max_crash_reports)) {
                    --item.sends_left;
                    reports.crashes.push_back({subject, item.run, age_of(item.at, now)});
                }
            }
        }
        const auto survived = m_survivals.find(subject);
        if (survived == m_survivals.end()) {
            continue;
        }
        auto& item = survived->second;
        if (item.is_own && item.begun_at > item.reported &&
            now - item.reported_at >= survival_report_interval) {
            item.reported = item.begun_at;
            item.reported_at = now;
            item.sends_left = sends_per_report;
        }
        if (item.sends_left > 0 &&
            has_room(reports.survivals, subject.kind, max_survival_reports)) {
            --item.sends_left;
            reports.survivals.push_back({subject, age_of(item.reported, now)});
        }
    }
    return reports;
}

crash_reports crash_evidence::recent(const std::vector<crash_subject>& known,
                                     base::time_point now) const
{
    crash_reports reports;
    for (const auto subject : reported_subjects(known)) {
        const auto evidence_of = m_subjects.find(subject);
        if (evidence_of != m_subjects.end()) {
            for (const auto& item : evidence_of->second.crashes) {
                if (item.is_direct && is_live(evidence_of->second, item) &&
                    now - item.at <= crash_report_time &&
                    has_room(reports.crashes, subject.kind, max_crash_reports)) {
                    reports.crashes.push_back({subject, item.run, age_of(item.at, now)});
                }
            }
        }
        const auto survived = m_survivals.find(subject);
        if (survived != m_survivals.end() && survived->second.is_direct &&
            now - survived->second.noted_at <= crash_report_time &&
            has_room(reports.survivals, subject.kind, max_survival_reports)) {
            reports.survivals.push_back({subject, age_of(survived->second.begun_at, now)});
        }
    }
    return reports;
}

} // namespace chicorylink::fleet
