#include "chicorylink/fleet/target_health.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// Weight of the newest attempt in the failure rate, which covers about the last ten attempts.
constexpr double newest_sample_weight = 0.1;

} // namespace

void eject(target_health& health, base::time_point now)
{
    const auto doubled = first_ejection_time * (1 << std::min(health.times_ejected, 3U));
    health.ejected_until = now + std::min<base::milliseconds>(doubled, max_ejection_time);
    health.ejected_at = now;
    ++health.times_ejected;
    // A single failure after the ejection ejects the target again.
    health.broken_in_a_row = ejection_threshold - 1;
}

void readmit(target_health& health)
{
    health.broken_in_a_row = 0;
    health.times_ejected = 0;
    health.ejected_until = {};
    health.may_have_restarted = false;
}

bool on_outcome(target_health& health, target_outcome outcome, base::time_point now)
{
    const bool good = outcome == target_outcome::answered;
    health.failure_rate += newest_sample_weight * ((good ? 0.0 : 1.0) - health.failure_rate);
    switch (outcome) {
    case target_outcome::answered:
    case target_outcome::server_error:
    case target_outcome::shed:
        readmit(health);
        return false;
    case target_outcome::broken:
        ++health.broken_in_a_row;
        break;
    case target_outcome::unreachable:
        health.broken_in_a_row = ejection_threshold;
        health.may_have_restarted = true;
        break;
    }
    if (health.broken_in_a_row < ejection_threshold || is_ejected(health, now)) {
        return false;
    }
    eject(health, now);
    return true;
}

bool is_ejected(const target_health& health, base::time_point now)
{
    return now < health.ejected_until;
}

bool is_on_probation(const target_health& health)
{
    return health.times_ejected > 0;
}

} // namespace chicorylink::fleet
