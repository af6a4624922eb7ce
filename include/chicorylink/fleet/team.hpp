#ifndef CHICORYLINK_FLEET_TEAM_HPP
#define CHICORYLINK_FLEET_TEAM_HPP

#include "chicorylink/fleet/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief A fleet-wide quota.
struct quota {
    /// Long-term rate of admission per second; 0 means no limit.
    double per_second = 0;
    /// What may be admitted at once beyond the rate.
    double burst = 0;
    /// Whether rate and burst count tokens instead of requests.
    bool in_tokens = false;
    /// Tokens charged for a request that states no tokens.
    std::uint64_t default_request_tokens = 0;
};

/// @brief A customer: its keys, its quota and the regions where its requests may be handled.
struct team {
    team_name name;
    std::vector<std::string> keys;
    /// Overrides the route's priority; empty if the route's applies.
    std::optional<int> priority;
    quota limit;
    /// Empty if all regions are allowed.
    std::vector<region_name> allowed_regions;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TEAM_HPP
