#ifndef CHICORYLINK_FLEET_TARGET_RESTRAINT_HPP
#define CHICORYLINK_FLEET_TARGET_RESTRAINT_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief What one run of a target asked of the VMs of its region with its answers.
struct target_restraint {
    /// The run: calendar time of its start, in milliseconds.
    std::int64_t started_ms = 0;
    /// Holds until the run ends, also when a later answer no longer says so.
    bool leaving = false;
    /// Until when it wants nothing from this VM; in the past when it is to be tried again.
    base::time_point wait_until{};
    /// The same as told to other VMs; a hint that it is overloaded.
    base::time_point others_wait_until{};
    /// When this VM was last told, by the target or by another VM.
    base::time_point told_at{};
    /// Until when the other VMs of the region are told of it.
    base::time_point tell_until{};
};

/// The longest wait that a target may ask for. A longer one is a mistake or a target that is lost.
inline constexpr base::milliseconds longest_asked_wait{3'600'000};

/// How long news of a restraint is repeated to the region: several digests, and the time in which a
/// VM that was cut off or restarted is back.
inline constexpr base::milliseconds tell_time{5'000};

/// How long the restraint of a run is remembered after it was last told, while its entry is gone.
/// Entries lapse in an outage of the store and come back.
inline constexpr base::milliseconds restraint_memory{600'000};

/// @brief The time that a VM stays away from a target that asked for `wait`: never shorter, and
/// a little longer by `seed`, so that the VMs of a region don't return together.
[[nodiscard]] base::milliseconds spread_wait(base::milliseconds wait, std::uint64_t seed);

/// @brief Whether the target wants nothing from this VM now.
[[nodiscard]] inline bool wants_nothing(const target_restraint& restraint, base::time_point now)
{
    return now < restraint.wait_until;
}

/// @brief Whether any VM of the region was asked to wait and the time is not over.
[[nodiscard]] inline bool pushes_back(const target_restraint& restraint, base::time_point now)
{
    return now < restraint.wait_until || now < restraint.others_wait_until;
}

/// @brief Whether a wait is over and no answer has shown yet that the target takes work again.
[[nodiscard]] bool is_returning(const target_restraint& restraint, base::time_point now);

/// @brief The target asked this VM to send nothing for some time.
void note_wait(target_restraint& restraint, base::milliseconds wait, base::time_point now);

/// @brief The target asked another VM.
void note_wait_of_other(target_restraint& restraint, base::milliseconds wait, base::time_point now);

/// @brief The target served a request; a wait that is over is forgotten.
void note_served(target_restraint& restraint, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_RESTRAINT_HPP
