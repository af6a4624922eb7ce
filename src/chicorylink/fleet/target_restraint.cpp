#include "chicorylink/fleet/target_restraint.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// VMs return within this part of the wait after its end, but within `longest_spread`.
constexpr int spread_part = 4;
constexpr base::milliseconds longest_spread{1000};

bool is_over(base::time_point until, base::time_point now)
{
    return until != base::time_point{} && now >= until;
}

} // namespace

base::milliseconds spread_wait(base::milliseconds wait, std::uint64_t seed)
{
    constexpr std::uint64_t steps = 1000;
    const auto most = std::min(wait / spread_part, longest_spread);
    return wait + most * static_cast<std::int64_t>(seed % steps) / static_cast<std::int64_t>(steps);
}

bool is_returning(const target_restraint& restraint, base::time_point now)
{
    return !pushes_back(restraint, now) &&
           (is_over(restraint.wait_until, now) || is_over(restraint.others_wait_until, now));
}

void note_wait(target_restraint& restraint, base::milliseconds wait, base::time_point now)
{
    const auto bounded = std::clamp(wait, base::milliseconds{0}, longest_asked_wait);
    restraint.wait_until = std::max(restraint.wait_until, now + bounded);
    restraint.told_at = now;
    restraint.tell_until = now + tell_time;
}

void note_wait_of_other(target_restraint& restraint, base::milliseconds wait, base::time_point now)
{
    const auto bounded = std::clamp(wait, base::milliseconds{0}, longest_asked_wait);
    restraint.others_wait_until = std::max(restraint.others_wait_until, now + bounded);
    restraint.told_at = now;
}

void note_served(target_restraint& restraint, base::time_point now)
{
    if (is_over(restraint.wait_until, now)) {
        restraint.wait_until = {};
    }
    if (is_over(restraint.others_wait_until, now)) {
        restraint.others_wait_until = {};
    }
}

} // namespace chicorylink::fleet
