#include "chicorylink/fleet/crash_evidence.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

// The part of `crash_evidence` that decides what is suspect.

namespace chicorylink::fleet {
namespace {

/// Counts crashes that are apart from each other; the times are sorted.
std::size_t separate_crashes(std::span<const base::time_point> times)
{
    std::size_t count = 0;
    base::time_point last{};
    for (const auto at : times) {
        if (count == 0 || at - last >= min_crash_distance) {
            ++count;
            last = at;
        }
    }
    return count;
}

/// @param was_sound Whether a request with the subject was answered before the crashes.
bool is_suspect(crash_subject_kind kind, const std::vector<base::time_point>& times, bool was_sound,
                base::time_point now)
{
    const auto& limits = limits_of(kind);
    const auto settled = static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(),
                      [&](base::time_point at) { return now - at >= limits.settle_time; }));
    // Targets that are lost at once cut all copies of a request that many callers send; one that
    // was never answered is not of these.
    const bool one_burst_is_enough = kind == crash_subject_kind::whole_request && !was_sound;
    const std::size_t min_bursts = one_burst_is_enough ? 1 : 2;
    return separate_crashes(std::span{times}.first(settled)) >= limits.crashes ||
           (settled >= limits.crashes_in_bursts && separate_crashes(times) >= min_bursts);
}

bool is_request(crash_subject subject)
{
    return subject.kind == crash_subject_kind::whole_request;
}

template <class Unexplained>
const Unexplained& most_crashes(const std::vector<Unexplained>& subjects)
{
    return *std::max_element(subjects.begin(), subjects.end(), [](const auto& a, const auto& b) {
        return a.runs.size() < b.runs.size();
    });
}

} // namespace

std::set<target_run> crash_evidence::runs_of(crash_subject subject) const
{
    std::set<target_run> runs;
    const auto found = m_subjects.find(subject);
    if (found != m_subjects.end()) {
        for (const auto& item : found->second.crashes) {
            runs.insert(item.run);
        }
    }
    return runs;
}

std::vector<crash_evidence::unexplained>
crash_evidence::unexplained_subjects(crash_subject_kind kind,
                                     const std::set<target_run>& explained) const
{
    std::vector<unexplained> subjects;
    for (const auto& [subject, entry] : m_subjects) {
        if (subject.kind != kind || entry.crashes.size() < limits_of(kind).crashes) {
            continue;
        }
        unexplained candidate{subject, {}, {}};
        for (const auto& item : entry.crashes) {
            if (is_live(entry, item) && !explained.contains(item.run)) {
                candidate.runs.insert(item.run);
                candidate.times.push_back(item.at);
            }
        }
        if (candidate.runs.size() >= limits_of(kind).crashes) {
            std::sort(candidate.times.begin(), candidate.times.end());
            subjects.push_back(std::move(candidate));
        }
    }
    return subjects;
}

std::vector<crash_suspect> crash_evidence::suspects(const std::vector<crash_subject>& known,
                                                    base::time_point now) const
{
    auto found = suspected_requests(known, now);
    std::vector<crash_subject> requests;
    requests.reserve(found.size() + known.size());
    for (const auto& suspect : found) {
        requests.push_back(suspect.subject);
    }
    std::copy_if(known.begin(), known.end(), std::back_inserter(requests), is_request);
    const auto parts = suspected_parts(known, requests, now);
    found.insert(found.end(), parts.begin(), parts.end());
    return found;
}

std::vector<crash_suspect>
crash_evidence::suspected_requests(const std::vector<crash_subject>& known,
                                   base::time_point now) const
{
    constexpr auto kind = crash_subject_kind::whole_request;
    std::set<target_run> explained;
    for (const auto subject : known) {
        explained.merge(runs_of(subject));
    }
    std::vector<crash_suspect> found;
    for (auto subjects = unexplained_subjects(kind, explained); !subjects.empty();
         subjects = unexplained_subjects(kind, explained)) {
        const auto runs = most_crashes(subjects).runs;
        for (const auto& one : subjects) {
            const bool was_sound = survived_at(one.subject) != base::time_point{};
            if (one.runs == runs && is_suspect(kind, one.times, was_sound, now)) {
                found.push_back({one.subject, runs.size(), one.times.back()});
            }
        }
        explained.insert(runs.begin(), runs.end());
    }
    return found;
}

std::vector<crash_suspect>
crash_evidence::suspected_parts(const std::vector<crash_subject>& known,
                                const std::vector<crash_subject>& requests,
                                base::time_point now) const
{
    constexpr auto kind = crash_subject_kind::prompt_part;
    std::set<target_run> explained;
    for (const auto subject : known) {
        if (!is_request(subject)) {
            explained.merge(runs_of(subject));
        }
    }
    // A part that was at crashes only together with one deadly request needs no other explanation.
    // At crashes without it, the part is the better one.
    const auto is_explained = [&](const unexplained& part) {
        return std::any_of(requests.begin(), requests.end(), [&](crash_subject request) {
            const auto runs = runs_of(request);
            return std::includes(runs.begin(), runs.end(), part.runs.begin(), part.runs.end());
        });
    };
    std::vector<crash_suspect> found;
    for (auto parts = unexplained_subjects(kind, explained); !parts.empty();
         parts = unexplained_subjects(kind, explained)) {
        const auto runs = most_crashes(parts).runs;
        std::erase_if(parts, [&](const unexplained& other) { return other.runs != runs; });
        std::uint64_t fewest = requests_with(parts.front().subject);
        for (const auto& part : parts) {
            fewest = std::min(fewest, requests_with(part.subject));
        }
        // A VM that has seen no request with a part can't tell which one is to blame.
        const bool can_tell = parts.size() == 1 || fewest > 0;
        for (const auto& part : parts) {
            if (can_tell && is_suspect(kind, part.times, false, now) &&
                requests_with(part.subject) == fewest && !is_explained(part)) {
                found.push_back({part.subject, runs.size(), part.times.back()});
            }
        }
        explained.insert(runs.begin(), runs.end());
    }
    return found;
}

} // namespace chicorylink::fleet
