#ifndef CHICORYLINK_RULES_EXPLAIN_HPP
#define CHICORYLINK_RULES_EXPLAIN_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/rules/region_explanation.hpp"

#include <string_view>
#include <vector>

namespace chicorylink::rules {

class rulebook;

/// @brief Explains for each region, ordered by name, whether and why a team's requests on a route
/// may run there.
///
/// The result applies to requests with the team's key. Requests without a key on a route that is
/// open to all may run in every region that has a target.
/// @return A `not_found` error when the team or the route is unknown.
[[nodiscard]] base::result<std::vector<region_explanation>>
explain_route(const rulebook& book, std::string_view team, std::string_view route);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_EXPLAIN_HPP
