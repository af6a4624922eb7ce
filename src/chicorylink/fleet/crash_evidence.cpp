#include "chicorylink/fleet/crash_evidence.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace chicorylink::fleet {
namespace {

/// How long survivals of subjects without evidence are kept, for reports of crashes that arrive
/// later.
constexpr base::milliseconds survival_lifetime{10'000};

/// A subject that is in no request for so long is counted anew.
constexpr base::milliseconds request_count_lifetime{60'000};

/// Two requests were cut by the same crash if their connections ended within this time.
constexpr base::milliseconds same_crash_time{500};

template <class Map, class IsOlder>
void erase_oldest(Map& entries, const IsOlder& is_older)
{
    const auto oldest =
        std::min_element(entries.begin(), entries.end(), [&](const auto& a, const auto& b) {
            return is_older(a.second, b.second);
        });
    if (oldest != entries.end()) {
        entries.erase(oldest);
    }
}

} // namespace

std::size_t crash_evidence::live_count(const evidence& entry)
{
    return static_cast<std::size_t>(
        std::count_if(entry.crashes.begin(), entry.crashes.end(),
                      [&](const crash& item) { return is_live(entry, item); }));
}

crash_evidence::evidence& crash_evidence::entry_for(crash_subject subject)
{
    const auto found = m_subjects.find(subject);
    if (found != m_subjects.end()) {
        return found->second;
    }
    if (m_subjects.size() >= max_crash_subjects) {
        const auto newest = [](const evidence& entry) {
            base::time_point at{};
            for (const auto& item : entry.crashes) {
                at = std::max(at, item.at);
            }
            return at;
        };
        erase_oldest(m_subjects,
                     [&](const evidence& a, const evidence& b) { return newest(a) < newest(b); });
    }
    auto& entry = m_subjects[subject];
    const auto survived = m_survivals.find(subject);
    if (survived != m_survivals.end()) {
        entry.survived_at = survived->second.begun_at;
    }
    return entry;
}

void crash_evidence::add_crash(crash_subject subject, const crash& item)
{
    auto& entry = entry_for(subject);
    const auto known = std::find_if(entry.crashes.begin(), entry.crashes.end(),
                                    [&](const crash& other) { return other.run == item.run; });
    if (known != entry.crashes.end()) {
        known->at = std::min(known->at, item.at);
        known->is_direct = known->is_direct || item.is_direct;
        return;
    }
    if (entry.crashes.size() >= max_crashes_per_subject) {
        // Crashes of which the subject is cleared go first, then the newest: older ones have
        // settled.
        auto dropped = std::find_if(entry.crashes.begin(), entry.crashes.end(),
                                    [&](const crash& other) { return !is_live(entry, other); });
        if (dropped == entry.crashes.end()) {
            dropped = std::max_element(entry.crashes.begin(), entry.crashes.end(),
                                       [](const crash& a, const crash& b) { return a.at < b.at; });
        }
        entry.crashes.erase(dropped);
    }
    entry.crashes.push_back(item);
}

void crash_evidence::add_known_crash(const target_run& run, base::time_point at)
{
    if (!m_known_crashes.contains(run) && m_known_crashes.size() >= max_known_crashes) {
        erase_oldest(m_known_crashes, std::less<>{});
    }
    m_known_crashes[run] = at;
    confirm_ends(run, at);
}

void crash_evidence::confirm_ends(const target_run& run, base::time_point at)
{
    std::erase_if(m_unconfirmed_ends, [&](const unconfirmed_end& end) {
        const bool is_same = end.run == run && std::chrono::abs(end.at - at) <= same_crash_time;
        if (is_same) {
            for (const auto subject : end.subjects) {
                add_crash(subject, {run, end.at, true, sends_per_report});
            }
        }
        return is_same;
    });
}

void crash_evidence::note_request(std::span<const crash_subject> subjects, base::time_point now)
{
    for (const auto subject : subjects) {
        // Most whole requests come only once.
        if (subject.kind == crash_subject_kind::whole_request) {
            continue;
        }
        if (!m_requests.contains(subject) && m_requests.size() >= max_counted_subjects) {
            erase_oldest(m_requests, [](const request_count& a, const request_count& b) {
                return a.last_at < b.last_at;
            });
        }
        auto& entry = m_requests[subject];
        ++entry.count;
        entry.last_at = now;
    }
}

std::uint64_t crash_evidence::requests_with(crash_subject subject) const
{
    const auto found = m_requests.find(subject);
    return found == m_requests.end() ? 0 : found->second.count;
}

void crash_evidence::note_crash(std::span<const crash_subject> subjects, const target_run& run,
                                base::time_point now)
{
    for (const auto subject : subjects) {
        add_crash(subject, {run, now, true, sends_per_report});
    }
    add_known_crash(run, now);
}

void crash_evidence::note_unconfirmed_end(std::span<const crash_subject> subjects,
                                          const target_run& run, base::time_point now)
{
    if (m_unconfirmed_ends.size() >= max_unconfirmed_ends) {
        m_unconfirmed_ends.erase(m_unconfirmed_ends.begin());
    }
    m_unconfirmed_ends.push_back({{subjects.begin(), subjects.end()}, run, now});
    const auto known = m_known_crashes.find(run);
    if (known != m_known_crashes.end()) {
        confirm_ends(run, known->second);
    }
}

void crash_evidence::add_survival(crash_subject subject, const survival& item)
{
    const auto bound =
        subject.kind == crash_subject_kind::whole_request ? max_request_survivals : max_survivals;
    const auto evidence_of = m_subjects.find(subject);
    if (evidence_of != m_subjects.end()) {
        auto& entry = evidence_of->second;
        entry.survived_at = std::max(entry.survived_at, item.begun_at);
    }
    else if (m_survivals.size() >= bound && !m_survivals.contains(subject)) {
        return;
    }
    auto& known = m_survivals[subject];
    if (item.begun_at > known.begun_at) {
        known.begun_at = item.begun_at;
        known.noted_at = item.noted_at;
        known.is_direct = item.is_direct;
        known.is_own = item.is_own;
    }
}

void crash_evidence::note_survival(std::span<const crash_subject> subjects,
                                   base::time_point begun_at, base::time_point now)
{
    for (const auto subject : subjects) {
        add_survival(subject, {begun_at, now, true, true, {}, {}, 0});
    }
}

void crash_evidence::apply(const crash_reports& reports, bool is_relayed, base::milliseconds delay,
                           base::time_point now)
{
    for (const auto& report : reports.survivals) {
        add_survival(report.subject,
                     {now - report.age - delay, now, !is_relayed, false, {}, {}, 0});
    }
    for (const auto& report : reports.crashes) {
        const auto at = now - report.age - delay;
        if (now - at < crash_lifetime) {
            add_crash(report.subject, {report.run, at, !is_relayed, 0});
            add_known_crash(report.run, at);
        }
    }
}

base::time_point crash_evidence::last_crash(crash_subject subject) const
{
    base::time_point last{};
    const auto found = m_subjects.find(subject);
    if (found != m_subjects.end()) {
        for (const auto& item : found->second.crashes) {
            if (is_live(found->second, item)) {
                last = std::max(last, item.at);
            }
        }
    }
    return last;
}

base::time_point crash_evidence::survived_at(crash_subject subject) const
{
    const auto evidence_of = m_subjects.find(subject);
    if (evidence_of != m_subjects.end()) {
        return evidence_of->second.survived_at;
    }
    const auto survived = m_survivals.find(subject);
    return survived == m_survivals.end() ? base::time_point{} : survived->second.begun_at;
}

void crash_evidence::expire(base::time_point now)
{
    for (auto& [subject, entry] : m_subjects) {
        std::erase_if(entry.crashes,
                      [&](const crash& item) { return now - item.at >= crash_lifetime; });
    }
    std::erase_if(m_subjects, [](const auto& entry) { return entry.second.crashes.empty(); });
    std::erase_if(m_survivals, [&](const auto& entry) {
        return now - entry.second.noted_at >= survival_lifetime;
    });
    std::erase_if(m_requests, [&](const auto& entry) {
        return now - entry.second.last_at >= request_count_lifetime;
    });
    std::erase_if(m_known_crashes,
                  [&](const auto& entry) { return now - entry.second >= survival_lifetime; });
    std::erase_if(m_unconfirmed_ends,
                  [&](const unconfirmed_end& end) { return now - end.at >= survival_lifetime; });
}

} // namespace chicorylink::fleet
