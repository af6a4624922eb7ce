#ifndef CHICORYLINK_FLEET_CRASH_TEST_SUPPORT_HPP
#define CHICORYLINK_FLEET_CRASH_TEST_SUPPORT_HPP

#include "chicorylink/fleet/crash_quarantine.hpp"

#include <vector>

namespace chicorylink::fleet::test_support {

inline constexpr crash_subject common_part{1};
inline constexpr crash_subject deadly_part{2};
inline constexpr crash_subject other_part{3};

inline constexpr crash_subject deadly_request{1, crash_subject_kind::whole_request};
inline constexpr crash_subject sound_request{2, crash_subject_kind::whole_request};

inline base::time_point at(base::milliseconds time)
{
    return base::time_point{std::chrono::hours{1}} + time;
}

inline target_run run_of(std::uint64_t target, std::int64_t started_ms = 1)
{
    return {base::target_id{target}, started_ms};
}

/// Crashes targets with these parts, one a second from the given time on.
inline void crash_targets(crash_quarantine& guard, const std::vector<crash_subject>& parts,
                          int count, std::chrono::seconds from)
{
    for (int number = 0; number < count; ++number) {
        const auto now = at(from + std::chrono::seconds{number});
        guard.note_crash(parts, run_of(static_cast<std::uint64_t>(number) + 1, from.count()), now);
    }
}

inline bool refuses(const crash_quarantine& guard, crash_subject subject, base::time_point now)
{
    return guard.find(std::vector{subject}, now).has_value();
}

} // namespace chicorylink::fleet::test_support

#endif // CHICORYLINK_FLEET_CRASH_TEST_SUPPORT_HPP
