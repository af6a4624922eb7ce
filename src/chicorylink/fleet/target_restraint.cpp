#include "chicorylink/fleet/target_restraint.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// VMs return within this fraction (1/n) of the wait after its end, at most `max_jitter` later.
constexpr int jitter_divisor = 4;
constexpr base::milliseconds max_jitter{1000};

bool has_passed(base::time_point until, base::time_point now)
{
    return until != base::time_point{} && now >= until;
}

} // namespace

base::milliseconds jittered_wait(base::milliseconds wait, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1000;
    const auto jitter_range = std::min(wait / jitter_divisor, max_jitter);
    return wait + jitter_range * static_cast<std::int64_t>(seed % steps) /
                      static_cast<std::int64_t>(steps);
}

bool needs_probe(const target_pushback& restraint, base::time_point now)
{
    return !pushes_back(restraint, now) &&
           (has_passed(restraint.wait_until, now) || has_passed(restraint.peers_wait_until, now));
}

void note_wait(target_pushback& restraint, base::milliseconds wait, base::time_point now)
{
    const auto bounded = std::clamp(wait, base::milliseconds{0}, max_requested_wait);
    restraint.wait_until = std::max(restraint.wait_until, now + bounded);
    restraint.told_at = now;
    restraint.repeat_until = now + notice_repeat_time;
}

void note_peer_wait(target_pushback& restraint, base::milliseconds wait, base::time_point now)
{
    const auto bounded = std::clamp(wait, base::milliseconds{0}, max_requested_wait);
    restraint.peers_wait_until = std::max(restraint.peers_wait_until, now + bounded);
    restraint.told_at = now;
}

void note_served(target_pushback& restraint, base::time_point now)
{
    if (has_passed(restraint.wait_until, now)) {
        restraint.wait_until = {};
    }
    if (has_passed(restraint.peers_wait_until, now)) {
        restraint.peers_wait_until = {};
    }
}

} // namespace chicorylink::fleet
