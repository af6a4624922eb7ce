#ifndef CHICORYLINK_FLEET_TEAM_HPP
#define CHICORYLINK_FLEET_TEAM_HPP

#include "chicorylink/fleet/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief A quota over the whole fleet.
struct quota {
    /// What is admitted a second in the long run; 0 means no limit.
    double per_second = 0;
    /// What may be admitted at once beyond it.
    double burst = 0;
    /// Whether both count tokens, not requests.
    bool in_tokens = false;
    /// What a request counts that names no tokens.
    std::uint64_t tokens_of_plain_request = 0;
};

/// @brief A customer: its keys, its quota and the regions where its requests may be handled.
struct team {
    team_name name;
    std::vector<std::string> keys;
    /// Goes before the route's priority; none when the route's counts.
    std::optional<int> priority;
    quota limit;
    /// Empty when all regions are allowed.
    std::vector<region_name> allowed_regions;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TEAM_HPP
