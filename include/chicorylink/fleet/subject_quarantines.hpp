#ifndef CHICORYLINK_FLEET_SUBJECT_QUARANTINES_HPP
#define CHICORYLINK_FLEET_SUBJECT_QUARANTINES_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/crash_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chicorylink::fleet {

/// How long a subject is quarantined for the first time, from its newest crash; each time in
/// succession takes twice as long.
inline constexpr base::milliseconds first_quarantine_time{120'000};
inline constexpr base::milliseconds max_quarantine_time{1'800'000};

inline constexpr std::size_t max_quarantined_subjects = 64;

/// @brief How long the given quarantine of a subject in succession lasts. A whole request that
/// crashes one more target gets the longest time: only few may reach targets however long it comes.
[[nodiscard]] base::milliseconds quarantine_time(crash_subject_kind kind, std::uint32_t number);

/// @brief The subjects that are quarantined or on probation.
///
/// A subject is on probation for as long as its quarantine took. One more crash then quarantines it
/// again.
class subject_quarantines {
public:
    /// @brief Quarantines a subject for the first time.
    void begin(crash_subject subject, base::time_point last_crash_at);

    /// @brief Applies a newer crash of a known subject.
    /// @return Whether the subject was on probation and is quarantined again.
    bool on_crash(crash_subject subject, base::time_point at);

    /// @brief Adopts the quarantine that another VM reported, unless a later one of the subject is
    /// known already or the subject has survived since: VMs can't prolong it for each other.
    /// @param survived_at When the subject's newest answer that survived began.
    /// @return Whether it was adopted.
    bool adopt(const quarantine_report& report, base::time_point survived_at,
               base::milliseconds delay, base::time_point now);

    /// @brief Ends the quarantine of a subject if a request with it has survived since its last
    /// crash.
    /// @return Whether the subject was quarantined.
    bool release(crash_subject subject, base::time_point survived_at, base::time_point now);

    /// @brief Time until the subject's quarantine ends; none if it is not quarantined.
    [[nodiscard]] std::optional<base::milliseconds> time_left(crash_subject subject,
                                                              base::time_point now) const;

    /// @brief All subjects that are quarantined, released or on probation.
    [[nodiscard]] std::vector<crash_subject> known_subjects() const;

    /// @brief All subjects that are quarantined or on probation.
    [[nodiscard]] std::vector<crash_subject> unreleased_subjects() const;

    [[nodiscard]] std::vector<quarantine_report> reports(base::time_point now) const;

    /// @brief Drops subjects whose probation has ended.
    /// @return Subjects whose quarantine has ended since the last call.
    std::vector<crash_subject> expire(base::time_point now);

private:
    struct quarantine {
        std::uint32_t number = 0;
        base::time_point last_crash_at{};
        base::time_point until{};
        /// The subject survived; it is kept so that an older report doesn't quarantine it again.
        bool is_released = false;
        bool end_reported = false;
    };

    void store(crash_subject subject, const quarantine& entry);

    std::map<crash_subject, quarantine> m_subjects;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_SUBJECT_QUARANTINES_HPP
