#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/region_choice.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <map>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using test_support::at;
using test_support::target_pool_fixture;

prompt prompt_of(std::uint64_t session, std::uint32_t shared, std::uint32_t own)
{
    static std::uint64_t unique = 1'000'000;
    prompt request_prompt;
    request_prompt.prompt_tokens = shared + own;
    request_prompt.parts = {{session, shared}, {++unique, own}};
    request_prompt.session = session;
    return request_prompt;
}

placement_request engine_request(const prompt& request_prompt)
{
    placement_request request;
    request.service = service_name{"engine"};
    request.engine_prompt = &request_prompt;
    return request;
}

TEST(placement, a_session_stays_where_its_parts_are_cached)
{
    target_pool_fixture targets(9);
    const auto first = prompt_of(42, 5000, 1000);
    const auto chosen = choose_target(targets.pool(), engine_request(first), at(seconds{1}));
    ASSERT_TRUE(chosen);
    for (int turn = 0; turn < 5; ++turn) {
        const auto next = prompt_of(42, 5000, 1000);
        const auto again = choose_target(targets.pool(), engine_request(next), at(seconds{2}));
        EXPECT_EQ(again->target, chosen->target);
    }
}

TEST(placement, a_session_leaves_its_home_target_when_waiting_there_costs_more)
{
    target_pool_fixture targets(9);
    const auto request_prompt = prompt_of(42, 5000, 1000);
    const auto home = choose_target(targets.pool(), engine_request(request_prompt), at(seconds{1}));
    // More than two seconds of unread prompts.
    targets.pool().on_sent(home->target, nullptr, 150'000, at(seconds{1}));
    const auto other =
        choose_target(targets.pool(), engine_request(request_prompt), at(seconds{1}));
    EXPECT_NE(other->target, home->target);
}

TEST(placement, leaving_evacuated_and_displaced_targets_get_no_requests)
{
    target_pool_fixture targets(2);
    const auto request_prompt = prompt_of(1, 100, 100);
    targets.publish("e0", "engine,leaving");
    EXPECT_EQ(choose_target(targets.pool(), engine_request(request_prompt), at(seconds{1}))->target,
              target_name{"e1"});
    targets.pool().on_displaced(target_name{"e1"});
    EXPECT_FALSE(choose_target(targets.pool(), engine_request(request_prompt), at(seconds{1})));
    targets.publish("e2", "engine");
    EXPECT_TRUE(choose_target(targets.pool(), engine_request(request_prompt), at(seconds{1})));
    targets.publish("evac/east-a", "{}");
    EXPECT_FALSE(choose_target(targets.pool(), engine_request(request_prompt), at(seconds{1})));
}

TEST(placement, after_an_evacuation_targets_count_as_cold)
{
    target_pool_fixture targets(1);
    targets.publish("evac/east-a", "{}");
    targets.publish("evac/east-a", {}, true, at(seconds{9}));
    const auto* target = targets.pool().find(target_name{"e0"});
    EXPECT_TRUE(may_be_cold(*target, at(seconds{11})));
    EXPECT_FALSE(may_be_cold(*target, at(seconds{13})));
}

TEST(placement, an_ejected_target_is_used_only_when_no_other_is_left)
{
    target_pool_fixture targets(2);
    const auto request_prompt = prompt_of(1, 100, 100);
    targets.pool().on_outcome(target_name{"e0"}, target_outcome::unreachable, milliseconds{5},
                              at(seconds{1}));
    for (std::uint64_t session = 0; session < 20; ++session) {
        const auto any = prompt_of(session, 100, 100);
        EXPECT_EQ(choose_target(targets.pool(), engine_request(any), at(seconds{1}))->target,
                  target_name{"e1"});
    }
    targets.publish("e1", "engine,leaving");
    EXPECT_EQ(choose_target(targets.pool(), engine_request(request_prompt), at(seconds{1}))->target,
              target_name{"e0"});
}

// 25 VMs each sent a probe to a target that had come back cold.
TEST(placement, an_unreachable_target_counts_as_cold_for_some_time_after_it_answers)
{
    target_pool_fixture targets(1);
    const target_name name{"e0"};
    targets.pool().on_outcome(name, target_outcome::unreachable, milliseconds{5}, at(seconds{1}));
    EXPECT_TRUE(may_be_cold(*targets.pool().find(name), at(seconds{60})));
    // Another VM of the region got a response.
    targets.pool().on_region_use(
        {{base::id_of<base::target_id>("e0"), 1, 0, 1, 0, milliseconds{100}}}, at(seconds{60}));
    EXPECT_FALSE(is_ejected(targets.pool().find(name)->health, at(seconds{60})));
    EXPECT_TRUE(may_be_cold(*targets.pool().find(name), at(seconds{62})));
    EXPECT_FALSE(may_be_cold(*targets.pool().find(name), at(seconds{64})));
}

TEST(placement, an_unreachable_target_is_ejected)
{
    target_pool_fixture targets(1);
    targets.pool().on_outcome(target_name{"e0"}, target_outcome::unreachable, milliseconds{5},
                              at(seconds{1}));
    EXPECT_TRUE(is_ejected(targets.pool().find(target_name{"e0"})->health, at(seconds{1})));
}

TEST(placement, plain_requests_do_not_queue_while_a_target_is_free)
{
    target_pool_fixture targets(0, 3);
    for (std::uint64_t number = 0; number < 18; ++number) {
        placement_request request;
        request.service = service_name{"plain"};
        request.spread = base::hash_name(std::to_string(number));
        const auto chosen = choose_target(targets.pool(), request, at(seconds{1}));
        ASSERT_TRUE(chosen);
        EXPECT_EQ(chosen->wait.count(), 0) << number;
        targets.pool().on_sent(chosen->target, nullptr, 0, at(seconds{1}));
    }
}

/// Requests at the busiest target after each VM sent one, all with the same outdated load in which
/// one target looks idle.
std::uint32_t max_load_after_round(std::size_t vms, bool set_vm_count)
{
    constexpr int targets_count = 46;
    std::map<target_name, std::uint32_t> load;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        target_pool_fixture targets(targets_count);
        for (int number = 1; number < targets_count; ++number) {
            targets.pool().on_sent(target_name{fmt::format("e{}", number)}, nullptr, 30'000,
                                   at(seconds{1}));
        }
        const auto request_prompt = prompt_of(1000 + vm, 300, 2000);
        auto request = engine_request(request_prompt);
        request.vm_count = set_vm_count ? vms : 1;
        ++load[choose_target(targets.pool(), request, at(seconds{1}))->target];
    }
    std::uint32_t busiest = 0;
    for (const auto& [name, count] : load) {
        busiest = std::max(busiest, count);
    }
    return busiest;
}

// Each target that looked idle got 30 requests within 100 ms, because all VMs chose it at once.
TEST(placement, many_vms_do_not_all_choose_the_target_that_looks_idle)
{
    EXPECT_EQ(max_load_after_round(28, false), 28U);
    EXPECT_LE(max_load_after_round(28, true), 8U);
}

TEST(placement, reported_load_of_other_vms_counts_without_the_own_part)
{
    target_pool_fixture targets(1);
    const target_name name{"e0"};
    targets.pool().on_sent(name, nullptr, 6000, at(seconds{1}));
    targets.pool().note_reported(at(seconds{1}));
    targets.pool().note_reported(at(milliseconds{1250}));
    targets.pool().on_region_use(
        {{base::id_of<base::target_id>("e0"), 3, 18'000, 0, 0, milliseconds{9000}}},
        at(milliseconds{1500}));
    EXPECT_EQ(total_in_flight(*targets.pool().find(name), at(milliseconds{1500})), 3U);
    EXPECT_EQ(total_unread_tokens(*targets.pool().find(name), at(milliseconds{1500})), 18'000U);
    // An old report of other VMs no longer counts.
    EXPECT_EQ(total_in_flight(*targets.pool().find(name), at(seconds{5})), 1U);
}

placement_choice choice_with(milliseconds wait, milliseconds start)
{
    return {target_name{"e0"}, "10.0.0.1:80", wait, start, 0, 0};
}

region_request request_with_objective(milliseconds objective)
{
    return {true, 6000, 0, 42, objective, seconds{10}, false};
}

TEST(region_choice, a_request_stays_while_its_region_serves_it_soon)
{
    const auto decision =
        choose_region(choice_with(milliseconds{100}, milliseconds{300}),
                      {{region_name{"west"}, milliseconds{0}, milliseconds{110}, 9}},
                      request_with_objective(milliseconds{1000}));
    EXPECT_EQ(decision.kind, region_decision_kind::local);
}

TEST(region_choice, a_request_leaves_before_the_queue_of_its_region_is_too_long)
{
    const auto decision =
        choose_region(choice_with(milliseconds{900}, milliseconds{1100}),
                      {{region_name{"west"}, milliseconds{50}, milliseconds{110}, 9}},
                      request_with_objective(milliseconds{1000}));
    EXPECT_EQ(decision.kind, region_decision_kind::remote);
    EXPECT_EQ(decision.region, region_name{"west"});
}

TEST(region_choice, refuses_a_request_that_would_wait_too_long_everywhere)
{
    const auto decision =
        choose_region(choice_with(milliseconds{2000}, milliseconds{2100}),
                      {{region_name{"west"}, milliseconds{1500}, milliseconds{110}, 9}},
                      request_with_objective(milliseconds{1000}));
    EXPECT_EQ(decision.kind, region_decision_kind::none);
    EXPECT_EQ(decision.wait, milliseconds{1610});
}

// A third of the long prompts left their region, and both other regions read the session's parts
// again.
TEST(region_choice, requests_of_a_session_leave_to_the_same_region)
{
    auto inputs = request_with_objective(milliseconds{1000});
    inputs.shared_tokens = 5000;
    std::map<region_name, int> chosen;
    for (int turn = 0; turn < 20; ++turn) {
        const std::vector<remote_region> others{
            {region_name{"west"}, milliseconds{turn * 5}, milliseconds{110}, 9},
            {region_name{"south"}, milliseconds{100 - turn * 5}, milliseconds{110}, 9}};
        const auto decision =
            choose_region(choice_with(milliseconds{900}, milliseconds{1100}), others, inputs);
        EXPECT_EQ(decision.kind, region_decision_kind::remote);
        ++chosen[decision.region];
    }
    EXPECT_EQ(chosen.size(), 1U);
}

TEST(region_choice, a_retrying_caller_may_wait_longer_than_a_new_one)
{
    auto inputs = request_with_objective(milliseconds{1000});
    const auto fresh = longest_wait(inputs);
    inputs.is_retry = true;
    EXPECT_GT(longest_wait(inputs), fresh);
}

TEST(region_choice, recent_sends_count_before_the_next_digest_arrives)
{
    region_digests digests;
    region_digest digest;
    digest.region = region_name{"west"};
    digest.outlook.push_back({base::hash_name("engine"), 3, milliseconds{0}});
    digests.note(digest, at(seconds{1}));
    remote_sends sends;
    for (int number = 0; number < 30; ++number) {
        sends.note(region_name{"west"}, service_name{"engine"}, 6000, at(seconds{1}));
    }
    const auto regions =
        remote_regions(digests, service_name{"engine"}, sends, at(milliseconds{1100}));
    ASSERT_EQ(regions.size(), 1U);
    EXPECT_EQ(regions.front().wait, milliseconds{1000});
    EXPECT_TRUE(remote_regions(digests, service_name{"engine"}, sends, at(seconds{9})).empty());
}

} // namespace
} // namespace chicorylink::fleet
