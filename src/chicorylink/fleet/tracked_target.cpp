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

} // namespace

std::uint64_t reserved_tokens_before(const tracked_target& target, std::uint8_t urgency)
{
    const auto& tokens = target.reserved.unread_tokens;
    const auto& requests = target.reserved.unread_requests;
    const auto own =
        static_cast<std::ptrdiff_t>(std::min<std::size_t>(urgency, urgency_levels - 1));
    const auto more_urgent =
        std::accumulate(tokens.begin(), tokens.begin() + own, std::uint64_t{0});
    const auto before = more_urgent + tokens.at(static_cast<std::size_t>(own));
    const auto behind = std::accumulate(tokens.begin() + own + 1, tokens.end(), std::uint64_t{0});
    const auto requests_behind =
        std::accumulate(requests.begin() + own + 1, requests.end(), std::uint64_t{0});
    // A prompt that is being read is read to its end.
    const auto in_progress = requests_behind == 0 ? 0 : behind / requests_behind;
    return before + more_urgent + in_progress;
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
