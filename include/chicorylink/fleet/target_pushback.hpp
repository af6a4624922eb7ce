#ifndef CHICORYLINK_FLEET_TARGET_PUSHBACK_HPP
#define CHICORYLINK_FLEET_TARGET_PUSHBACK_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/rate_limit.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief What one run of a target asked of its region's VMs: to stop sending, or to wait.
struct target_pushback {
    /// Identifies the run: calendar time of its start, in milliseconds.
    std::int64_t started_ms = 0;
    /// Stays set until the run ends, even when a later response no longer states it.
    bool leaving = false;
    /// End of the wait asked of this VM; in the past when the target is to be tried again.
    base::time_point wait_until{};
    /// End of the wait asked of other VMs; a hint that the target is overloaded.
    base::time_point peers_wait_until{};
    rate_limit limit;
    /// When this VM last heard of the pushback, from the target or from another VM.
    base::time_point reported_at{};
    /// Until when this VM repeats it to the other VMs of the region.
    base::time_point repeat_until{};
};

/// The longest wait that a target may ask for. A longer one is an error or a lost target.
inline constexpr base::milliseconds max_requested_wait{3'600'000};

/// How long a notice is repeated to the region: several digests, and the time in which a VM that
/// was cut off or restarted is back.
inline constexpr base::milliseconds notice_repeat_time{5'000};

/// How long the pushback of a run is kept after the last report while the target's entry is gone.
/// Entries expire during an outage of the store and come back.
inline constexpr base::milliseconds pushback_retention{600'000};

/// @brief Adds jitter to the wait that a target asked for: never shorter than `wait`, and a little
/// longer by `seed`, so that the VMs of a region don't return at the same time.
[[nodiscard]] base::milliseconds jittered_wait(base::milliseconds wait, std::uint64_t seed);

/// @brief Whether the target asked this VM to wait and the time is not over.
[[nodiscard]] inline bool must_back_off(const target_pushback& pushback, base::time_point now)
{
    return now < pushback.wait_until;
}

/// @brief Whether any VM of the region was asked to wait and the time is not over.
[[nodiscard]] inline bool pushes_back(const target_pushback& pushback, base::time_point now)
{
    return now < pushback.wait_until || now < pushback.peers_wait_until;
}

/// @brief Whether a wait is over and no response has shown yet that the target takes requests
/// again.
[[nodiscard]] bool needs_probe(const target_pushback& pushback, base::time_point now);

/// @brief The target asked this VM to send nothing for some time.
void note_wait(target_pushback& pushback, base::milliseconds wait, base::time_point now);

/// @brief The target asked another VM to send nothing for some time.
void note_peer_wait(target_pushback& pushback, base::milliseconds wait, base::time_point now);

/// @brief The target served a request; clears waits that are over.
void note_served(target_pushback& pushback, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_PUSHBACK_HPP
