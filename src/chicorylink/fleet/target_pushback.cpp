#include "chicorylink/fleet/target_pushback.hpp"

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

bool needs_probe(const target_pushback& pushback, base::time_point now)
{
    return !pushes_back(pushback, now) &&
           (has_passed(pushback.wait_until, now) || has_passed(pushback.peers_wait_until, now));
}

void note_wait(target_pushback& pushback, base::milliseconds wait, base::time_point now)
{
    const auto bounded = std::clamp(wait, base::milliseconds{0}, max_requested_wait);
    pushback.wait_until = std::max(pushback.wait_until, now + bounded);
    pushback.reported_at = now;
    pushback.repeat_until = now + notice_repeat_time;
}

void note_peer_wait(target_pushback& pushback, base::milliseconds wait, base::time_point now)
{
    const auto bounded = std::clamp(wait, base::milliseconds{0}, max_requested_wait);
    pushback.peers_wait_until = std::max(pushback.peers_wait_until, now + bounded);
    pushback.reported_at = now;
}

void note_served(target_pushback& pushback, base::time_point now)
{
    if (has_passed(pushback.wait_until, now)) {
        pushback.wait_until = {};
    }
    if (has_passed(pushback.peers_wait_until, now)) {
        pushback.peers_wait_until = {};
    }
}

} // namespace chicorylink::fleet
