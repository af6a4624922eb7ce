#ifndef CHICORYLINK_FLEET_PART_QUARANTINES_HPP
#define CHICORYLINK_FLEET_PART_QUARANTINES_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/crash_report.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace chicorylink::fleet {

/// How long a part is quarantined for the first time, from its newest crash; each time in
/// succession takes twice as long.
inline constexpr base::milliseconds first_quarantine_time{120'000};
inline constexpr base::milliseconds max_quarantine_time{1'800'000};

inline constexpr std::size_t max_quarantined_parts = 64;

/// @brief How long the given quarantine of a part in succession lasts.
[[nodiscard]] base::milliseconds quarantine_time(std::uint32_t number);

/// @brief The parts of prompts that are quarantined or on probation.
///
/// A part is on probation for as long as its quarantine took. One more crash then quarantines it
/// again.
class part_quarantines {
public:
    /// @brief Quarantines a part for the first time.
    void begin(prompt_part_id part, base::time_point last_crash_at);

    /// @brief Applies a newer crash of a known part.
    /// @return Whether the part was on probation and is quarantined again.
    bool on_crash(prompt_part_id part, base::time_point at);

    /// @brief Adopts the quarantine that another VM reported, unless a later one of the part is
    /// known already or the part has survived since: VMs can't prolong it for each other.
    /// @param survived_at When the part's newest answer that survived began.
    /// @return Whether it was adopted.
    bool adopt(const quarantine_report& report, base::time_point survived_at,
               base::milliseconds delay, base::time_point now);

    /// @brief Ends the quarantine of a part if a request with it has survived since its last crash.
    /// @return Whether the part was quarantined.
    bool release(prompt_part_id part, base::time_point survived_at, base::time_point now);

    /// @brief Time until the part's quarantine ends; none if it is not quarantined.
    [[nodiscard]] std::optional<base::milliseconds> time_left(prompt_part_id part,
                                                              base::time_point now) const;

    /// @brief All parts that are quarantined, released or on probation.
    [[nodiscard]] std::vector<prompt_part_id> known_parts() const;

    /// @brief All parts that are quarantined or on probation.
    [[nodiscard]] std::vector<prompt_part_id> unreleased_parts() const;

    [[nodiscard]] std::vector<quarantine_report> reports(base::time_point now) const;

    /// @brief Drops parts whose probation has ended.
    /// @return Parts whose quarantine has ended since the last call.
    std::vector<prompt_part_id> expire(base::time_point now);

private:
    struct quarantine {
        std::uint32_t number = 0;
        base::time_point last_crash_at{};
        base::time_point until{};
        /// The part survived; it is kept so that an older report doesn't quarantine it again.
        bool is_released = false;
        bool end_reported = false;
    };

    void store(prompt_part_id part, const quarantine& entry);

    std::map<prompt_part_id, quarantine> m_parts;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PART_QUARANTINES_HPP
