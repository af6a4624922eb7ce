#include "chicorylink/membership/directory.hpp"

#include <algorithm>
#include <map>

#include <gtest/gtest.h>

namespace chicorylink::membership {
namespace {

constexpr std::size_t vms_in_region = 6;
constexpr std::uint64_t callers = 6'000;

const auto north = base::id_of<base::region_id>("north");
const auto south = base::id_of<base::region_id>("south");

view make_view()
{
    view snapshot;
    for (const auto& region : {std::string("north"), std::string("south")}) {
        for (std::size_t i = 0; i < vms_in_region; ++i) {
            const auto name = region + std::to_string(i);
            snapshot.members.push_back({.id = base::id_of<base::vm_id>(name),
                                        .name = name,
                                        .region = base::id_of<base::region_id>(region),
                                        .caller_address = name,
                                        .state = member_state::live});
        }
    }
    std::ranges::sort(snapshot.members, {}, &member::id);
    return snapshot;
}

directory_request request_of(std::uint64_t caller)
{
    return {.team = base::id_of<base::team_id>("shop"),
            .caller = caller,
            .allowed_regions = {north, south},
            .region_order = {north, south}};
}

std::map<base::vm_id, std::uint64_t> first_choices(const view& snapshot)
{
    std::map<base::vm_id, std::uint64_t> counts;
    for (std::uint64_t caller = 0; caller < callers; ++caller) {
        ++counts[list_vms(snapshot, request_of(caller)).vms.front().vm];
    }
    return counts;
}

member& named(view& snapshot, const std::string& name)
{
    return *std::ranges::find(snapshot.members, name, &member::name);
}

TEST(directory, lists_only_allowed_live_vms_nearest_first)
{
    auto snapshot = make_view();
    named(snapshot, "north1").state = member_state::leaving;
    named(snapshot, "north2").state = member_state::suspect;
    auto request = request_of(1);
    request.max_vms = 100;
    const auto answer = list_vms(snapshot, request);
    ASSERT_EQ(answer.vms.size(), 2 * vms_in_region - 2);
    for (std::size_t i = 0; i < answer.vms.size(); ++i) {
        EXPECT_EQ(answer.vms[i].region, i < vms_in_region - 2 ? north : south);
    }
    request.allowed_regions = {south};
    for (const auto& each : list_vms(snapshot, request).vms) {
        EXPECT_EQ(each.region, south);
    }
}

TEST(directory, preferred_vms_come_first_in_their_region)
{
    const auto snapshot = make_view();
    auto request = request_of(1);
    request.preferred_vms = {base::id_of<base::vm_id>("north3"),
                             base::id_of<base::vm_id>("south3")};
    const auto answer = list_vms(snapshot, request);
    EXPECT_EQ(answer.vms.front().name, "north3");
    EXPECT_TRUE(answer.vms.front().home);
    EXPECT_FALSE(answer.vms.at(1).home);
}

TEST(directory, callers_of_a_leaving_vm_spread_evenly_and_others_stay)
{
    auto snapshot = make_view();
    const auto before = first_choices(snapshot);
    std::vector<base::vm_id> first_before;
    for (std::uint64_t caller = 0; caller < callers; ++caller) {
        first_before.push_back(list_vms(snapshot, request_of(caller)).vms.front().vm);
    }
    const auto gone = base::id_of<base::vm_id>("north0");
    named(snapshot, "north0").state = member_state::leaving;
    std::map<base::vm_id, std::uint64_t> moved;
    for (std::uint64_t caller = 0; caller < callers; ++caller) {
        const auto now_first = list_vms(snapshot, request_of(caller)).vms.front().vm;
        if (first_before[caller] == gone) {
            ++moved[now_first];
        }
        else {
            EXPECT_EQ(now_first, first_before[caller]);
        }
    }
    // Each of the five other VMs gets a fifth of the callers, with a tolerance of a quarter.
    EXPECT_EQ(moved.size(), vms_in_region - 1);
    const auto fair = before.at(gone) / (vms_in_region - 1);
    for (const auto& [vm, count] : moved) {
        EXPECT_GT(count, fair * 3 / 4);
        EXPECT_LT(count, fair * 5 / 4);
    }
}

TEST(directory, overloaded_vm_sorts_last_in_its_region)
{
    auto snapshot = make_view();
    named(snapshot, "north4").load = {.running = 100, .waiting = 20};
    EXPECT_TRUE(is_overloaded(named(snapshot, "north4"), snapshot));
    EXPECT_FALSE(first_choices(snapshot).contains(base::id_of<base::vm_id>("north4")));
}

TEST(directory, lifetimes_differ_between_callers)
{
    const auto snapshot = make_view();
    EXPECT_NE(list_vms(snapshot, request_of(1)).lifetime,
              list_vms(snapshot, request_of(2)).lifetime);
}

} // namespace
} // namespace chicorylink::membership
