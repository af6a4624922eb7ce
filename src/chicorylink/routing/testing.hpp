#ifndef CHICORYLINK_ROUTING_TESTING_HPP
#define CHICORYLINK_ROUTING_TESTING_HPP

#include "chicorylink/routing/request.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"

#include <cstdint>
#include <memory>
#include <string>

/// Rules and requests for the tests and benchmarks of this module.
namespace chicorylink::routing::testing_support {

inline base::time_point at(std::int64_t milliseconds)
{
    return base::time_point{} + std::chrono::hours{1} + base::milliseconds{milliseconds};
}

inline base::region_id region(const std::string& name)
{
    return base::id_of<base::region_id>(name);
}

inline base::route_id route()
{
    return base::id_of<base::route_id>("chat");
}

inline rules::team make_team(const std::string& name, std::vector<base::region_id> regions)
{
    return {.id = base::id_of<base::team_id>(name),
            .name = name,
            .regions = std::move(regions),
            .rate = base::tokens_per_second{1000},
            .burst = base::tokens{1000}};
}

/// @brief Creates two regions with `targets` targets of `slots` slots each (two by default), a team
/// that may use both (`wide`), one team per region, and one bound to its home region `north`
/// (`bound`).
inline std::shared_ptr<const rules::rulebook> make_book(int targets = 2, std::uint32_t slots = 2)
{
    rules::rulebook_builder builder{base::config_version{1}};
    builder.add(rules::route{.id = route(), .name = "chat"});
    for (const std::string name : {"north", "south"}) {
        builder.add(rules::region{.id = region(name), .name = name});
        builder.add(make_team(name + "ern", {region(name)}));
        for (int index = 0; index < targets; ++index) {
            const auto title = name + "-" + std::to_string(index);
            builder.add(rules::target{.id = base::id_of<base::target_id>(title),
                                      .name = title,
                                      .region = region(name),
                                      .routes = {route()},
                                      .slots = slots});
        }
    }
    builder.add(make_team("wide", {region("north"), region("south")}));
    auto bound = make_team("bound", {region("north"), region("south")});
    bound.home = region("north");
    builder.add(std::move(bound));
    builder.add(rules::link{.a = region("north"), .b = region("south")});
    return builder.build().value();
}

inline request make_request(std::uint64_t id, const std::string& team)
{
    return {.id = request_id{id},
            .team = base::id_of<base::team_id>(team),
            .route = route(),
            .prompt_tokens = base::tokens{500},
            .answer_tokens = base::tokens{100},
            .body = base::bytes{2000},
            .prefix = {},
            .deadline = at(30'000),
            .tried = {},
            .tried_regions = {}};
}

} // namespace chicorylink::routing::testing_support

#endif // CHICORYLINK_ROUTING_TESTING_HPP
