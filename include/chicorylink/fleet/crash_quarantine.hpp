#ifndef CHICORYLINK_FLEET_CRASH_QUARANTINE_HPP
#define CHICORYLINK_FLEET_CRASH_QUARANTINE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/crash_evidence.hpp"
#include "chicorylink/fleet/crash_report.hpp"
#include "chicorylink/fleet/subject_quarantines.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chicorylink::fleet {

/// @brief Why a subject's quarantine began or ended.
enum class quarantine_cause : std::uint8_t {
    /// Began: it explains several crashes.
    crashes,
    /// Began: one more crash on probation.
    crash_on_probation,
    /// Began: another VM reported it.
    reported,
    /// Ended: a request with the subject was answered.
    survived,
    /// Ended: its time is over.
    expired,
};

/// @brief The begin or the end of a subject's quarantine, for the log.
struct quarantine_change {
    crash_subject subject;
    quarantine_cause cause = quarantine_cause::crashes;
    /// Crashes known to this VM.
    std::size_t crashes = 0;
};

/// @brief Why a request is refused.
struct active_quarantine {
    crash_subject_kind kind = crash_subject_kind::prompt_part;
    /// Time until requests with the subject are accepted again.
    base::milliseconds left{0};
};

[[nodiscard]] std::string_view to_string(quarantine_cause cause);

/// @brief Whether the change is the begin of a quarantine.
[[nodiscard]] bool is_begin(quarantine_cause cause);

/// @brief Finds what crashes targets and refuses requests with it.
///
/// All VMs get the same reports and decide alike, so that the whole fleet stops sending it.
class crash_quarantine {
public:
    /// @brief The quarantine of these subjects that ends last; none if no one is quarantined.
    [[nodiscard]] std::optional<active_quarantine> find(std::span<const crash_subject> subjects,
                                                        base::time_point now) const;

    /// @brief See `crash_evidence` for these.
    void note_request(std::span<const crash_subject> subjects, base::time_point now);
    void note_crash(std::span<const crash_subject> subjects, const target_run& run,
                    base::time_point now);
    void note_unconfirmed_end(std::span<const crash_subject> subjects, const target_run& run,
                              base::time_point now);
    void note_survival(std::span<const crash_subject> subjects, base::time_point begun_at,
                       base::time_point now);

    /// @brief Applies the reports of another VM.
    /// @param is_relayed Whether they come from a digest.
    /// @param delay Time since the reports were made.
    void apply(const crash_reports& reports, bool is_relayed, base::milliseconds delay,
               base::time_point now);

    /// @brief Decides on the subjects that are quarantined.
    /// @return What has changed since the last call.
    std::vector<quarantine_change> update(base::time_point now);

    /// @brief The reports of this VM to be sent to the delegates now.
    [[nodiscard]] crash_reports take_own(base::time_point now);

    /// @brief The reports for the region's digest.
    [[nodiscard]] crash_reports digest_reports(base::time_point now) const;

    [[nodiscard]] const crash_evidence& evidence() const { return m_evidence; }

private:
    crash_evidence m_evidence;
    subject_quarantines m_quarantines;
    std::vector<quarantine_change> m_changes;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CRASH_QUARANTINE_HPP
