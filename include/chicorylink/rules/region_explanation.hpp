#ifndef CHICORYLINK_RULES_REGION_EXPLANATION_HPP
#define CHICORYLINK_RULES_REGION_EXPLANATION_HPP

#include "chicorylink/rules/origin.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::rules {

/// @brief Whether a team's requests on a route may run in a region, and the deciding factor.
enum class region_verdict : std::uint8_t { runs, not_allowed, home_elsewhere, no_target };

/// @brief Returns the stable name of a verdict.
[[nodiscard]] std::string_view to_string(region_verdict verdict);

/// @brief The verdict on one region.
struct region_explanation {
    std::string region;
    region_verdict verdict = region_verdict::not_allowed;
    /// The route's targets in the region, including those that the team may not use.
    std::vector<std::string> targets;
    std::string reason;
    /// The deciding rule: the team's line, or the route's when there is no target.
    origin source;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_REGION_EXPLANATION_HPP
