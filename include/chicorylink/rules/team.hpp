#ifndef CHICORYLINK_RULES_TEAM_HPP
#define CHICORYLINK_RULES_TEAM_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/rules/origin.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::rules {

/// @brief A tenant: where its requests may run, and its rate and burst over the whole fleet.
struct team {
    base::team_id id;
    std::string name;
    /// Never empty; sorted by id.
    std::vector<base::region_id> regions;
    /// When set, requests run only in this region, which is one of `regions`.
    std::optional<base::region_id> home;
    base::tokens_per_second rate;
    base::tokens burst;
    /// Weight in the admission queues relative to other teams; at least 1.
    std::uint32_t weight = 1;
    origin source;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_TEAM_HPP
