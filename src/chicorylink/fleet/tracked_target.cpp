#include "chicorylink/fleet/tracked_target.hpp"

#include <algorithm>
#include <numeric>

namespace chicorylink::fleet {
namespace {

/// What another VM told counts for so long: four heartbeats of a region.
constexpr base::milliseconds others_bound{1000};

/// A target's own report counts for so long; later requests have changed it by then.
constexpr base::milliseconds report_bound{800};

/// Unread tokens of a waiting request of which nothing else is known, until own ones were sent.
constexpr double default_unread_per_request = 2500;

/// The larger of what members and delegates told: either may miss VMs, neither invents any.
others_use use_of_others(const tracked_target& target, base::time_point now)
{
    auto use = told_by_members(target, now);
    if (now - target.region.told_at <= others_bound) {
        use.in_flight = std::max(use.in_flight, target.region.in_flight);
        use.unread_tokens = std::max(use.unread_tokens, target.region.unread_tokens);
    }
    return use;
}

/// What an engine reads between two steps of its batch; a more urgent request waits for its end.
constexpr std::uint64_t chunk_tokens = 2048;

} // namespace

std::uint64_t reserved_tokens_before(const tracked_target& target, std::uint8_t urgency)
{
    const auto& unread = target.reserved.unread_tokens;
    const auto level = std::min<std::size_t>(urgency, urgency_levels - 1) + 1;
    const auto split = unread.begin() + static_cast<std::ptrdiff_t>(level);
    const auto before = std::accumulate(unread.begin(), split, std::uint64_t{0});
    const auto behind = std::accumulate(split, unread.end(), std::uint64_t{0});
    return before + std::min(behind, chunk_tokens);
}

others_use told_by_members(const tracked_target& target, base::time_point now)
{
    others_use sum;
    for (const auto& other : target.others) {
        if (now - other.told_at <= others_bound) {
            sum.in_flight += other.in_flight;
            sum.unread_tokens += other.unread_tokens;
        }
    }
    return sum;
}

std::uint32_t total_in_flight(const tracked_target& target, base::time_point now)
{
    auto total = target.in_flight + use_of_others(target, now).in_flight;
    if (now - target.load.told_at <= report_bound) {
        total = std::max(total, target.load.running + target.load.waiting);
    }
    return total;
}

std::uint64_t total_unread_tokens(const tracked_target& target, base::time_point now)
{
    const auto counted =
        std::uint64_t{target.unread_tokens} + use_of_others(target, now).unread_tokens;
    if (now - target.load.told_at > report_bound) {
        return counted;
    }
    // Requests that the target itself says are waiting, whoever sent them.
    const double each = target.mean_unread > 0 ? target.mean_unread : default_unread_per_request;
    const auto waiting = static_cast<std::uint64_t>(each * target.load.waiting);
    return std::max(counted, waiting + target.unread_since_load);
}

} // namespace chicorylink::fleet
