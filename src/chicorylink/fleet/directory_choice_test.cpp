#include "chicorylink/fleet/configuration.hpp"
#include "chicorylink/fleet/directory_choice.hpp"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using addresses = std::vector<std::string>;

const region_name east{"east"};
const region_name north{"north"};
const region_name west{"west"};
const base::time_point start{};
const base::time_point discovered = start + discovery_time;

/// One ready VM in each of three regions.
class directory_choice : public testing::Test {
protected:
    [[nodiscard]] addresses choose(const region_name& caller_region,
                                   const region_restrictions& restrictions,
                                   base::time_point now = discovered) const
    {
        addresses chosen;
        for (const auto& vm : choose_vms(m_view, caller_region, restrictions, now)) {
            chosen.push_back(vm.address);
        }
        return chosen;
    }

    void end(const region_name& region)
    {
        std::erase_if(m_view.vms, [&](const auto& vm) { return vm.region == region; });
    }

    directory_view m_view{
        {{"e:1", east, true, false}, {"n:1", north, true, false}, {"w:1", west, true, false}},
        start};
};

TEST_F(directory_choice, names_the_callers_region_even_if_no_route_may_run_there)
{
    EXPECT_EQ(choose(east, {{west}}), addresses{"e:1"});
}

// Guards against callers of a region without VMs whose requests come to a region where their routes
// may not run, while one where they may has ready VMs.
TEST_F(directory_choice, names_regions_of_the_hosts_routes_in_place_of_a_lost_region)
{
    end(east);
    EXPECT_EQ(choose(east, {{east, west}}), addresses{"w:1"});
    EXPECT_EQ(choose(east, {{west}, {north, west}}), addresses{"w:1"});
    EXPECT_EQ(choose(east, {{west}, {north}}), (addresses{"n:1", "w:1"}));
}

TEST_F(directory_choice, names_any_region_when_none_of_the_routes_has_a_ready_vm)
{
    end(east);
    m_view.vms.back().is_ready = false;
    EXPECT_EQ(choose(east, {{east, west}}), addresses{"n:1"});
}

TEST_F(directory_choice, names_all_regions_for_a_host_without_restrictions)
{
    end(east);
    EXPECT_EQ(choose(east, {}), (addresses{"n:1", "w:1"}));
}

TEST_F(directory_choice, callers_of_a_restarting_region_keep_their_addresses)
{
    m_view.vms.front() = {"e:1", east, false, true};
    EXPECT_EQ(choose(east, {{east, west}}), addresses{});
}

TEST_F(directory_choice, names_no_other_region_before_its_vms_can_be_known)
{
    end(east);
    EXPECT_EQ(choose(east, {}, discovered - milliseconds{1}), addresses{});
}

TEST(directory_regions, are_listed_once)
{
    EXPECT_EQ(
        regions_of(
            {{"e:1", east, true, false}, {"w:1", west, true, false}, {"e:2", east, true, false}}),
        "east,west");
    EXPECT_EQ(regions_of({}), "");
}

TEST(directory_restrictions, are_those_of_the_hosts_own_routes)
{
    const auto route_of = [](const std::string& host, std::vector<region_name> allowed) {
        route entry;
        entry.host = host;
        entry.allowed_regions = std::move(allowed);
        return entry;
    };
    const configuration config(
        base::config_version{1},
        {route_of("h", {east, west}), route_of("h", {}), route_of("other", {north})}, {}, {}, {});
    EXPECT_EQ(restrictions_of(config, "h"), (region_restrictions{{east, west}}));
    EXPECT_TRUE(restrictions_of(config, "unknown").empty());
}

} // namespace
} // namespace chicorylink::fleet
