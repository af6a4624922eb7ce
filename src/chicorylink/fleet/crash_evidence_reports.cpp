#include "chicorylink/fleet/crash_evidence.hpp"

#include <algorithm>
#include <utility>

// The part of `crash_evidence` that makes reports for other VMs.

namespace chicorylink::fleet {
namespace {

/// How often the survival of a part that stays in use is reported.
constexpr base::milliseconds survival_report_interval{250};

base::milliseconds age_of(base::time_point then, base::time_point now)
{
    return std::chrono::duration_cast<base::milliseconds>(now - then);
}

bool is_in(const std::vector<prompt_part_id>& parts, prompt_part_id part)
{
    return std::find(parts.begin(), parts.end(), part) != parts.end();
}

} // namespace

std::vector<prompt_part_id>
crash_evidence::reported_parts(const std::vector<prompt_part_id>& known) const
{
    std::vector<std::pair<std::size_t, prompt_part_id>> ranked;
    for (const auto& [part, entry] : m_parts) {
        ranked.emplace_back(live_count(entry), part);
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    std::vector<prompt_part_id> parts = known;
    for (const auto& [count, part] : ranked) {
        if (!is_in(known, part)) {
            parts.push_back(part);
        }
    }
    return parts;
}

crash_reports crash_evidence::take_own(const std::vector<prompt_part_id>& known,
                                       base::time_point now)
{
    crash_reports reports;
    for (const auto part : reported_parts(known)) {
        const auto evidence_of = m_parts.find(part);
        if (evidence_of != m_parts.end()) {
            for (auto& item : evidence_of->second.crashes) {
                if (item.sends_left > 0 && reports.crashes.size() < max_crash_reports) {
                    --item.sends_left;
                    reports.crashes.push_back({part, item.run, age_of(item.at, now)});
                }
            }
        }
        const auto survived = m_survivals.find(part);
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
        if (item.sends_left > 0 && reports.survivals.size() < max_survival_reports) {
            --item.sends_left;
            reports.survivals.push_back({part, age_of(item.reported, now)});
        }
    }
    return reports;
}

crash_reports crash_evidence::recent(const std::vector<prompt_part_id>& known,
                                     base::time_point now) const
{
    crash_reports reports;
    for (const auto part : reported_parts(known)) {
        const auto evidence_of = m_parts.find(part);
        if (evidence_of != m_parts.end()) {
            for (const auto& item : evidence_of->second.crashes) {
                if (item.is_direct && is_live(evidence_of->second, item) &&
                    now - item.at <= crash_report_time &&
                    reports.crashes.size() < max_crash_reports) {
                    reports.crashes.push_back({part, item.run, age_of(item.at, now)});
                }
            }
        }
        const auto survived = m_survivals.find(part);
        if (survived != m_survivals.end() && survived->second.is_direct &&
            now - survived->second.noted_at <= crash_report_time &&
            reports.survivals.size() < max_survival_reports) {
            reports.survivals.push_back({part, age_of(survived->second.begun_at, now)});
        }
    }
    return reports;
}

} // namespace chicorylink::fleet
