#ifndef CHICORYLINK_FLEET_CRASH_EVIDENCE_HPP
#define CHICORYLINK_FLEET_CRASH_EVIDENCE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/crash_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace chicorylink::fleet {

/// How long a crash counts as evidence.
inline constexpr base::milliseconds crash_lifetime{120'000};

/// Targets that are lost at the same time count as one crash.
inline constexpr base::milliseconds min_crash_distance{250};

/// @brief Which crashes make a subject suspect.
struct suspicion_limits {
    /// Crashes that are apart from each other.
    std::size_t crashes = 0;
    /// Enough crashes even if they fall into few bursts.
    std::size_t crashes_in_bursts = 0;
    /// Only crashes that are at least this old count, so that survivals of requests with an
    /// unrelated subject can arrive from all regions.
    base::milliseconds settle_time{0};
};

/// A part is in many requests that are unrelated to each other, so that its survivals come from all
/// VMs. The evidence against a whole request is stronger: it is at one target at a time.
inline constexpr suspicion_limits part_limits{4, 5, base::milliseconds{3'000}};
inline constexpr suspicion_limits request_limits{3, 3, base::milliseconds{1'500}};

[[nodiscard]] constexpr const suspicion_limits& limits_of(crash_subject_kind kind)
{
    return kind == crash_subject_kind::whole_request ? request_limits : part_limits;
}

/// How long crashes and survivals are told to other VMs.
inline constexpr base::milliseconds crash_report_time{6'000};

inline constexpr std::size_t max_crash_subjects = 1024;
inline constexpr std::size_t max_crashes_per_subject = 64;
inline constexpr std::size_t max_survivals = 4096;
/// Each request has a survival of its own; the rest is for parts.
inline constexpr std::size_t max_request_survivals = 2048;
inline constexpr std::size_t max_counted_subjects = 1024;
inline constexpr std::size_t max_unconfirmed_ends = 64;
inline constexpr std::size_t max_known_crashes = 256;

/// How often this VM sends each report, since datagrams get lost.
inline constexpr int sends_per_report = 2;

/// Bounds on the reports of one kind of subject in one message.
inline constexpr std::size_t max_crash_reports = 128;
inline constexpr std::size_t max_survival_reports = 128;

/// @brief A subject that explains crashes of targets.
struct crash_suspect {
    crash_subject subject;
    std::size_t crashes = 0;
    base::time_point last_crash_at{};
};

/// @brief Records which subjects were at targets when they crashed, and which survived.
///
/// A crash cuts all requests at its target, so that many unrelated subjects are recorded too. A
/// subject is cleared of all crashes before a request with it began an answer that survived.
class crash_evidence {
public:
    /// @brief Counts a request of this VM. Among parts with the same crashes the rarest is to
    /// blame: all its requests crash targets, and the other parts are in more requests.
    void note_request(std::span<const crash_subject> subjects, base::time_point now);

    /// @brief Records that the connection of a request broke before its answer survived.
    void note_crash(std::span<const crash_subject> subjects, const target_run& run,
                    base::time_point now);

    /// @brief Records an answer that ended soon, with its connection: it may be complete. It counts
    /// as cut if another request shows that the target crashed at that time.
    void note_unconfirmed_end(std::span<const crash_subject> subjects, const target_run& run,
                              base::time_point now);

    /// @param begun_at When the answer that survived began.
    void note_survival(std::span<const crash_subject> subjects, base::time_point begun_at,
                       base::time_point now);

    /// @brief Applies the reports of another VM.
    /// @param is_relayed Whether the VM that sent them has them from others.
    /// @param delay Time since the reports were made.
    void apply(const crash_reports& reports, bool is_relayed, base::milliseconds delay,
               base::time_point now);

    /// @brief The subjects that explain several crashes.
    /// @param known Subjects that are already known to crash targets.
    [[nodiscard]] std::vector<crash_suspect> suspects(const std::vector<crash_subject>& known,
                                                      base::time_point now) const;

    /// @brief The newest crash of which a subject is not cleared; the epoch if there is none.
    [[nodiscard]] base::time_point last_crash(crash_subject subject) const;

    /// @brief When the newest answer that survived began; the epoch if there is none.
    [[nodiscard]] base::time_point survived_at(crash_subject subject) const;

    /// @brief The reports of this VM to send now; each is returned `sends_per_report` times.
    /// @param known Subjects whose survivals are told although no crash is recorded.
    [[nodiscard]] crash_reports take_own(const std::vector<crash_subject>& known,
                                         base::time_point now);

    /// @brief The recent reports of this VM and of those that told it directly.
    [[nodiscard]] crash_reports recent(const std::vector<crash_subject>& known,
                                       base::time_point now) const;

    /// @brief Drops what is too old.
    void expire(base::time_point now);

    [[nodiscard]] std::size_t subject_count() const { return m_subjects.size(); }

private:
    struct crash {
        target_run run;
        base::time_point at{};
        /// Whether this VM or one that told it directly saw the crash.
        bool is_direct = false;
        int sends_left = 0;
    };
    struct evidence {
        std::vector<crash> crashes;
        base::time_point survived_at{};
    };
    struct survival {
        base::time_point begun_at{};
        base::time_point noted_at{};
        bool is_direct = false;
        bool is_own = false;
        /// What this VM has reported.
        base::time_point reported{};
        base::time_point reported_at{};
        int sends_left = 0;
    };
    struct request_count {
        std::uint64_t count = 0;
        base::time_point last_at{};
    };
    struct unconfirmed_end {
        std::vector<crash_subject> subjects;
        target_run run;
        base::time_point at{};
    };
    /// The crashes of one subject that no other subject explains.
    struct unexplained {
        crash_subject subject;
        std::set<target_run> runs;
        std::vector<base::time_point> times;
    };

    [[nodiscard]] static bool is_live(const evidence& entry, const crash& item)
    {
        return item.at > entry.survived_at;
    }
    [[nodiscard]] static std::size_t live_count(const evidence& entry);
    [[nodiscard]] evidence& entry_for(crash_subject subject);
    void add_crash(crash_subject subject, const crash& item);
    void add_survival(crash_subject subject, const survival& item);
    void add_known_crash(const target_run& run, base::time_point at);
    [[nodiscard]] std::uint64_t requests_with(crash_subject subject) const;
    void confirm_ends(const target_run& run, base::time_point at);
    [[nodiscard]] std::vector<unexplained>
    unexplained_subjects(crash_subject_kind kind, const std::set<target_run>& explained) const;
    /// @brief The runs whose crashes accuse a subject.
    [[nodiscard]] std::set<target_run> runs_of(crash_subject subject) const;
    /// @param known As of `suspects`.
    [[nodiscard]] std::vector<crash_suspect>
    suspected_requests(const std::vector<crash_subject>& known, base::time_point now) const;
    /// @param requests Whole requests that are known to crash targets.
    [[nodiscard]] std::vector<crash_suspect>
    suspected_parts(const std::vector<crash_subject>& known,
                    const std::vector<crash_subject>& requests, base::time_point now) const;
    /// @brief Subjects with evidence, those with most crashes first, and the other known ones.
    [[nodiscard]] std::vector<crash_subject>
    reported_subjects(const std::vector<crash_subject>& known) const;

    std::map<crash_subject, evidence> m_subjects;
    std::map<crash_subject, survival> m_survivals;
    std::map<crash_subject, request_count> m_requests;
    std::map<target_run, base::time_point> m_known_crashes;
    std::vector<unconfirmed_end> m_unconfirmed_ends;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CRASH_EVIDENCE_HPP
