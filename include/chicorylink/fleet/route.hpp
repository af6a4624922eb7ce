#ifndef CHICORYLINK_FLEET_ROUTE_HPP
#define CHICORYLINK_FLEET_ROUTE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief What may be repeated, and how the answer comes.
enum class request_kind {
    /// May run any number of times.
    idempotent,
    /// Runs at most once.
    at_most_once,
    /// Answered by a series of events; runs at most once unless the route is resumable.
    stream,
};

/// @brief One of the services of a route and its part of the requests.
struct weighted_service {
    service_name service;
    std::uint32_t weight = 1;
};

/// @brief Where requests of one host and path go, and how.
struct route {
    route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::at_most_once;
    bool resumable = false;
    /// Served without a key.
    bool is_public = false;
    std::vector<weighted_service> services;
    /// Targets that one request may run on.
    std::uint32_t max_attempts = 1;
    /// The longest time that a caller is kept waiting.
    base::milliseconds timeout{0};
    /// The latency objective, to the end of an answer or the first event of a stream.
    base::milliseconds latency_objective{0};
    /// The longest pause between two events of a stream that is still on time; 0 when not told.
    base::milliseconds pause_objective{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Regions where its requests may be handled; empty when all may.
    std::vector<region_name> allowed_regions;
};

/// @brief Whether a request may be sent again after it may have run.
[[nodiscard]] inline bool may_repeat(const route& asked)
{
    return asked.kind == request_kind::idempotent ||
           (asked.kind == request_kind::stream && asked.resumable);
}

/// @brief How long a target may show a request no progress before it is taken to be silent. A
/// stream may pause for longer than its objective and still be sound.
[[nodiscard]] inline base::milliseconds silence_limit(const route& asked)
{
    // Several times the pause between two events at the fullest batch.
    constexpr base::milliseconds shortest{1000};
    constexpr int pauses = 2;
    return std::max(shortest, asked.pause_objective * pauses);
}

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_ROUTE_HPP
