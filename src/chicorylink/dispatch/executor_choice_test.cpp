#include "chicorylink/dispatch/executor_choice.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace chicorylink::dispatch {
namespace {

using base::id_of;
using membership::member_state;

const auto north = id_of<base::region_id>("north");
const auto south = id_of<base::region_id>("south");
const auto west = id_of<base::region_id>("west");
const auto booking = id_of<base::route_id>("booking");

class executor_choice_test : public ::testing::Test {
protected:
    executor_choice_test()
    {
        rules::rulebook_builder builder{base::config_version{1}};
        for (const auto* name : {"north", "south", "west"}) {
            builder.add(rules::region{.id = id_of<base::region_id>(name), .name = name});
        }
        builder.add(rules::route{.id = booking, .name = "booking", .idempotent = false});
        builder.add(target("bookings-s", south)).add(target("bookings-w", west));
        builder.add(rules::link{.a = north, .b = south, .delay = base::milliseconds{80}});
        builder.add(rules::link{.a = north, .b = west, .delay = base::milliseconds{20}});
        m_team = {.id = id_of<base::team_id>("shop"),
                  .name = "shop",
                  .regions = {north, south, west},
                  .rate = base::tokens_per_second{1},
                  .burst = base::tokens{1}};
        std::ranges::sort(m_team.regions);
        m_book = builder.build().value();
        add("n1", north);
        add("s1", south);
        add("w1", west);
        m_view.self = id_of<base::vm_id>("n1");
    }

    static rules::target target(const std::string& name, base::region_id region)
    {
        return {.id = id_of<base::target_id>(name),
                .name = name,
                .region = region,
                .address = "127.0.0.1:" + std::to_string(name.back()),
                .routes = {booking}};
    }

    void add(const std::string& name, base::region_id region,
             member_state state = member_state::live)
    {
        m_view.members.push_back({.id = id_of<base::vm_id>(name),
                                  .name = name,
                                  .region = region,
                                  .process = base::incarnation{1},
                                  .state = state});
        std::ranges::sort(m_view.members, {}, &membership::member::id);
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> found;
        for (const auto& vm : executors_for(*m_book, m_team, booking, m_view, m_preference)) {
            found.push_back(vm.name);
        }
        return found;
    }

    std::shared_ptr<const rules::rulebook> m_book;
    rules::team m_team;
    membership::view m_view;
    executor_preference m_preference = executor_preference::self_first;
};

TEST_F(executor_choice_test, lists_live_vms_in_target_regions_nearest_first)
{
    add("w0", west, member_state::leaving);
    EXPECT_EQ(names(), (std::vector<std::string>{"w1", "s1"}));
    m_view.self = id_of<base::vm_id>("s1");
    EXPECT_EQ(names().front(), "s1");
    add("s2", south);
    EXPECT_EQ(names().front(), "s1");
    m_preference = executor_preference::another_vm_first;
    EXPECT_EQ(names().front(), "s2");
}

TEST_F(executor_choice_test, excludes_regions_that_the_team_may_not_use)
{
    m_team.regions = {north, south};
    std::ranges::sort(m_team.regions);
    EXPECT_EQ(names(), (std::vector<std::string>{"s1"}));
    m_team.home = north;
    EXPECT_TRUE(names().empty());
}

TEST_F(executor_choice_test, locates_the_executor_of_a_ticket)
{
    const auto location = [&](const char* vm, std::uint64_t process) {
        const ticket value{.executor = id_of<base::vm_id>(vm),
                           .process = base::incarnation{process}};
        return locate_executor(value, m_team, m_view, base::incarnation{7});
    };
    EXPECT_EQ(location("n1", 7), executor_location::here);
    EXPECT_EQ(location("n1", 6), executor_location::executor_gone);
    EXPECT_EQ(location("s1", 1), executor_location::forward);
    EXPECT_EQ(location("s1", 2), executor_location::forward);
    EXPECT_EQ(location("x1", 1), executor_location::executor_unknown);
    m_team.regions = {north};
    EXPECT_EQ(location("s1", 1), executor_location::region_not_allowed);
    add("z1", north, member_state::gone);
    EXPECT_EQ(location("z1", 1), executor_location::executor_gone);
}

} // namespace
} // namespace chicorylink::dispatch
