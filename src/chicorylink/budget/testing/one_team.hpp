#ifndef CHICORYLINK_BUDGET_TESTING_ONE_TEAM_HPP
#define CHICORYLINK_BUDGET_TESTING_ONE_TEAM_HPP

#include "chicorylink/rules/rulebook_builder.hpp"

#include <memory>
#include <string>
#include <vector>

namespace chicorylink::budget::testing {

inline const base::team_id one_team = base::id_of<base::team_id>("one");

/// @brief Rules with a single team.
/// @param regions Region names, one letter each: "ab" means two regions.
[[nodiscard]] inline std::shared_ptr<const rules::rulebook>
one_team_book(std::uint64_t version, std::int64_t rate, std::int64_t burst,
              const std::string& regions)
{
    rules::rulebook_builder builder{base::config_version{version}};
    rules::team team_rules;
    team_rules.id = one_team;
    team_rules.name = "one";
    for (const auto letter : regions) {
        const std::string name(1, letter);
        team_rules.regions.push_back(base::id_of<base::region_id>(name));
        builder.add(rules::region{team_rules.regions.back(), name, {}});
    }
    team_rules.rate = base::tokens_per_second{rate};
    team_rules.burst = base::tokens{burst};
    builder.add(std::move(team_rules));
    return builder.build().value();
}

} // namespace chicorylink::budget::testing

#endif // CHICORYLINK_BUDGET_TESTING_ONE_TEAM_HPP
