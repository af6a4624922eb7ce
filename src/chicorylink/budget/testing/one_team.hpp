#ifndef CHICORYLINK_BUDGET_TESTING_ONE_TEAM_HPP
#define CHICORYLINK_BUDGET_TESTING_ONE_TEAM_HPP

#include "chicorylink/rules/rulebook_builder.hpp"

#include <memory>
#include <string>
#include <vector>

namespace chicorylink::budget::testing {

inline const base::team_id one_team = base::id_of<base::team_id>("one");

/// @brief Rules with a single team.
/// @param regions Their names are single letters: "ab" stands for two regions.
[[nodiscard]] inline std::shared_ptr<const rules::rulebook>
one_team_book(std::uint64_t version, std::int64_t rate, std::int64_t burst,
              const std::string& regions)
{
    rules::rulebook_builder builder{base::config_version{version}};
    rules::team who;
    who.id = one_team;
    who.name = "one";
    for (const auto letter : regions) {
        const std::string name(1, letter);
        who.regions.push_back(base::id_of<base::region_id>(name));
        builder.add(rules::region{who.regions.back(), name, {}});
    }
    who.rate = base::tokens_per_second{rate};
    who.burst = base::tokens{burst};
    builder.add(std::move(who));
    return builder.build().value();
}

} // namespace chicorylink::budget::testing

#endif // CHICORYLINK_BUDGET_TESTING_ONE_TEAM_HPP
