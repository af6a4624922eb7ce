#include "chicorylink/fleet/tracked_target.hpp"

#include <algorithm>
#include <numeric>

namespace chicorylink::fleet {
namespace {

/// Reports of other VMs are valid for this time: four heartbeats of a region.
constexpr base::milliseconds max_peer_report_age{1000};

/// A target's own report is valid for this time; later requests have changed the load by then.
constexpr base::milliseconds max_load_report_age{800};

/// Assumed unread tokens of a waiting request until this VM has sent requests of its own.
constexpr double default_unread_tokens_per_request = 2500;

/// The larger of the sums from peers and from delegates: either may miss VMs, neither counts VMs
/// that don't exist.
others_use peers_use(const tracked_target& target, base::time_point now)
{
    auto use = reported_by_peers(target, now);
    if (now - target.region.reported_at <= max_peer_report_age) {
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
    const auto own_level =
        static_cast<std::ptrdiff_t>(std::min<std::size_t>(urgency, urgency_levels - 1));
    const auto more_urgent =
        std::accumulate(tokens.begin(), tokens.begin() + own_level, std::uint64_t{0});
    const auto before = more_urgent + tokens.at(static_cast<std::size_t>(own_level));
    const auto less_urgent =
        std::accumulate(tokens.begin() + own_level + 1, tokens.end(), std::uint64_t{0});
    const auto less_urgent_requests =
        std::accumulate(requests.begin() + own_level + 1, requests.end(), std::uint64_t{0});
    // Reading of a prompt is not interrupted.
    const auto being_read = less_urgent_requests == 0 ? 0 : less_urgent / less_urgent_requests;
    return before + more_urgent + being_read;
}

others_use reported_by_peers(const tracked_target& target, base::time_point now)
{
    others_use sum;
    for (const auto& other : target.peer_loads) {
        if (now - other.reported_at <= max_peer_report_age) {
            sum.in_flight += other.in_flight;
            sum.unread_tokens += other.unread_tokens;
        }
    }
    return sum;
}

std::uint32_t total_in_flight(const tracked_target& target, base::time_point now)
{
    auto total = target.in_flight + peers_use(target, now).in_flight;
    if (now - target.load.reported_at <= max_load_report_age) {
        total = std::max(total, target.load.running + target.load.waiting);
    }
    return total;
}

std::uint64_t total_unread_tokens(const tracked_target& target, base::time_point now)
{
    const auto counted = std::uint64_t{target.unread_tokens} + peers_use(target, now).unread_tokens;
    if (now - target.load.reported_at > max_load_report_age) {
        return counted;
    }
    // Waiting requests by the target's own report, whichever VM sent them.
    const double tokens_per_request =
        target.mean_unread > 0 ? target.mean_unread : default_unread_tokens_per_request;
    const auto waiting = static_cast<std::uint64_t>(tokens_per_request * target.load.waiting);
    return std::max(counted, waiting + target.unread_since_load);
}

} // namespace chicorylink::fleet
