#include "chicorylink/fleet/tracked_target.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// What another VM told counts for so long: four heartbeats of a region.
constexpr base::milliseconds others_bound{1000};

/// A target's own report counts for so long; later requests have changed it by then.
constexpr base::milliseconds report_bound{300};

} // namespace

std::uint32_t total_in_flight(const tracked_target& target, base::time_point now)
{
    std::uint32_t total = target.in_flight;
    for (const auto& other : target.others) {
        if (now - other.told_at <= others_bound) {
            total += other.in_flight;
        }
    }
    if (now - target.load.told_at <= report_bound) {
        total = std::max(total, target.load.running + target.load.waiting);
    }
    return total;
}

std::uint64_t total_unread_tokens(const tracked_target& target, base::time_point now)
{
    std::uint64_t total = target.unread_tokens;
    for (const auto& other : target.others) {
        if (now - other.told_at <= others_bound) {
            total += other.unread_tokens;
        }
    }
    return total;
}

} // namespace chicorylink::fleet
