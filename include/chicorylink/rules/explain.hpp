#ifndef CHICORYLINK_RULES_EXPLAIN_HPP
#define CHICORYLINK_RULES_EXPLAIN_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/rules/region_explanation.hpp"

#include <string_view>
#include <vector>

namespace chicorylink::rules {

class rulebook;

/// @brief Where a team's requests on a route may run and why, region by region in order of name.
///
/// A route that is open to all runs requests without a key in every region that holds a target;
/// the explanation is of requests that come with the team's key.
/// @return A `not_found` error when the team or the route is unknown.
[[nodiscard]] base::result<std::vector<region_explanation>>
explain_route(const rulebook& book, std::string_view team, std::string_view route);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_EXPLAIN_HPP
