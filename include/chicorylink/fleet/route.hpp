#ifndef CHICORYLINK_FLEET_ROUTE_HPP
#define CHICORYLINK_FLEET_ROUTE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief Whether a request may be retried, and how its answer arrives.
enum class request_kind {
    /// May run any number of times.
    idempotent,
    /// Runs at most once.
    at_most_once,
    /// Answered by a stream of events; runs at most once unless the route is resumable.
    stream,
};

/// @brief One of the services of a route and its share of the requests.
struct weighted_service {
    service_name service;
    std::uint32_t weight = 1;
};

/// @brief Where and how requests of one host and path prefix are sent.
struct route {
    route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    bool resumable = false;
    /// Whether it is served without a key.
    bool is_public = false;
    std::vector<weighted_service> services;
    /// Number of targets that one request may run on.
    std::uint32_t max_attempts = 1;
    /// Longest time that a caller waits.
    base::milliseconds timeout{0};
    /// Latency objective, to the end of an answer or to the first event of a stream.
    base::milliseconds latency_objective{0};
    /// Longest pause between two events of a stream that is still on time; 0 if not set.
    base::milliseconds pause_objective{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Regions where its requests may be handled; empty if all are allowed.
    std::vector<region_name> allowed_regions;
};

/// @brief Whether a request may be sent again after it may have run.
[[nodiscard]] inline bool may_retry(const route& matched_route)
{
    return matched_route.kind == request_kind::idempotent ||
           (matched_route.kind == request_kind::stream && matched_route.resumable);
}

/// @brief How long a request may make no progress before its target is considered silent. A healthy
/// stream may pause for longer than its objective.
[[nodiscard]] inline base::milliseconds stall_timeout(const route& matched_route)
{
    // Several times the pause between two events at the fullest batch.
    constexpr base::milliseconds min_timeout{1000};
    constexpr int pause_multiple = 2;
    return std::max(min_timeout, matched_route.pause_objective * pause_multiple);
}

/// @brief How long a caller waits for the next event of a stream.
[[nodiscard]] inline base::milliseconds event_patience(const route& matched_route)
{
    constexpr base::milliseconds min_patience{2000};
    constexpr int objective_multiple = 4;
    constexpr int pause_multiple = 8;
    return std::max({min_patience, matched_route.latency_objective * objective_multiple,
                     matched_route.pause_objective * pause_multiple});
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_ROUTE_HPP
