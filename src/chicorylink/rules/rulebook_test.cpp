#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"

#include <gtest/gtest.h>

namespace chicorylink::rules {
namespace {

using base::id_of;
using base::region_id;
using base::team_id;

team make_team(const std::string& name, const std::vector<std::string>& regions)
{
    team tenant{.id = id_of<team_id>(name), .name = name};
    for (const auto& region_name : regions) {
        tenant.regions.push_back(id_of<region_id>(region_name));
    }
    tenant.rate = base::tokens_per_second{100};
    tenant.burst = base::tokens{1000};
    return tenant;
}

region make_region(const std::string& name)
{
    return {.id = id_of<region_id>(name), .name = name};
}

bool builds(rulebook_builder& builder)
{
    return base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(builder.build());
            return true;
        },
        [](const base::error&) { return false; }, [] { return false; });
}

TEST(rulebook, finds_added_rules)
{
    rulebook_builder builder{base::config_version{7}};
    builder.add(make_region("north")).add(make_region("south")).add(make_team("a", {"south"}));
    const auto book = builder.build().value();
    EXPECT_EQ(book->version(), base::config_version{7});
    const auto* tenant = book->find(id_of<team_id>("a"));
    ASSERT_NE(tenant, nullptr);
    EXPECT_TRUE(may_run_in(*tenant, id_of<region_id>("south")));
    EXPECT_FALSE(may_run_in(*tenant, id_of<region_id>("north")));
    EXPECT_EQ(book->find(id_of<team_id>("b")), nullptr);
}

TEST(rulebook, rejects_unknown_region_and_repeated_name)
{
    rulebook_builder unknown{base::config_version{1}};
    unknown.add(make_region("north")).add(make_team("a", {"south"}));
    EXPECT_FALSE(builds(unknown));
    rulebook_builder repeated{base::config_version{1}};
    repeated.add(make_region("north")).add(make_region("north"));
    EXPECT_FALSE(builds(repeated));
}

TEST(rulebook, rejects_a_key_or_link_given_twice)
{
    rulebook_builder keys{base::config_version{1}};
    keys.add(make_region("north")).add(make_team("a", {"north"})).add(make_team("b", {"north"}));
    keys.add(key{.team = id_of<team_id>("a")}).add(key{.team = id_of<team_id>("b")});
    EXPECT_FALSE(builds(keys));
    const link duplicate_link{.a = id_of<region_id>("north"), .b = id_of<region_id>("south")};
    rulebook_builder links{base::config_version{1}};
    links.add(make_region("north"))
        .add(make_region("south"))
        .add(duplicate_link)
        .add(duplicate_link);
    EXPECT_FALSE(builds(links));
}

TEST(rulebook, home_must_be_allowed_and_is_the_only_region)
{
    auto tenant = make_team("a", {"north", "south"});
    tenant.home = id_of<region_id>("north");
    EXPECT_TRUE(may_run_in(tenant, id_of<region_id>("north")));
    EXPECT_FALSE(may_run_in(tenant, id_of<region_id>("south")));
    tenant.home = id_of<region_id>("west");
    rulebook_builder builder{base::config_version{1}};
    builder.add(make_region("north"))
        .add(make_region("south"))
        .add(make_region("west"))
        .add(tenant);
    EXPECT_FALSE(builds(builder));
}

} // namespace
} // namespace chicorylink::rules
