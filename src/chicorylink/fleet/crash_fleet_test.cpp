// A fleet whose targets crash on one part of a prompt, and faults that only look like that.

#include "chicorylink/fleet/crash_fleet_fixture.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::crash_fleet;

constexpr auto common_part = crash_fleet::common_part;
constexpr auto deadly_part = crash_fleet::deadly_part;

/// After this time all VMs know what happened, and at most some more deadly requests may be sent.
constexpr seconds contact_time{5};
constexpr std::size_t max_late_requests = 3;

void expect_only_the_deadly_part_is_refused(const crash_fleet& fleet)
{
    ASSERT_GE(fleet.crashes().size(), part_limits.crashes);
    EXPECT_LE(fleet.sent_after_crash(5, contact_time), max_late_requests);
    EXPECT_EQ(fleet.quarantined(), std::set{deadly_part});
    EXPECT_EQ(fleet.sound_refused(), 0U);
}

void expect_only_the_deadly_request_is_refused(const crash_fleet& fleet)
{
    ASSERT_GE(fleet.crashes().size(), request_limits.crashes);
    EXPECT_LE(fleet.sent_after_crash(3, contact_time), max_late_requests);
    EXPECT_EQ(fleet.quarantined(), std::set{crash_fleet::deadly_request});
    EXPECT_EQ(fleet.sound_refused(), 0U);
}

// Guards against one request that comes again and again and crashes a target each time: its prompt
// has only parts that sound requests have too.
TEST(crash_fleet, a_deadly_request_stops_reaching_targets_after_the_third_crash)
{
    for (const std::size_t vms : {1, 3}) {
        for (const double per_second : {0.3, 1.4, 10.0}) {
            for (const std::uint32_t seed : {1, 2, 3}) {
                SCOPED_TRACE(testing::Message()
                             << vms << " VMs, " << per_second << "/s, seed " << seed);
                crash_fleet fleet({.vms = vms,
                                   .seed = seed,
                                   .deadly_per_second = per_second,
                                   .deadly_is_whole_request = true});
                fleet.run_for(seconds{per_second < 1 ? 60 : 25});
                expect_only_the_deadly_request_is_refused(fleet);
            }
        }
    }
}

TEST(crash_fleet, a_deadly_request_is_found_by_a_large_fleet)
{
    crash_fleet fleet({.vms = 28, .deadly_is_whole_request = true});
    fleet.run_for(seconds{20});
    expect_only_the_deadly_request_is_refused(fleet);
}

// The same in a service of three targets, which are all down most of the time.
TEST(crash_fleet, a_deadly_request_is_found_by_a_small_service)
{
    for (std::uint32_t seed = 100; seed < 130; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        crash_fleet fleet({.targets = 1,
                           .seed = seed,
                           .requests_per_second = 20,
                           .sessions = 20,
                           .deadly_is_whole_request = true,
                           .lost_share = 0.05});
        fleet.run_for(seconds{30});
        expect_only_the_deadly_request_is_refused(fleet);
    }
}

// Guards against targets that crash one after the other, all through a fleet, on requests that
// share only one part of their prompts.
TEST(crash_fleet, a_deadly_part_stops_reaching_targets_after_the_fifth_crash)
{
    for (const std::size_t vms : {1, 3, 28}) {
        for (const std::uint32_t seed : {1, 2, 3, 4}) {
            SCOPED_TRACE(testing::Message() << vms << " VMs, seed " << seed);
            crash_fleet fleet({.vms = vms, .seed = seed});
            fleet.run_for(seconds{30});
            expect_only_the_deadly_part_is_refused(fleet);
        }
    }
}

TEST(crash_fleet, rare_and_frequent_deadly_requests_stop_reaching_targets)
{
    for (const double per_second : {0.2, 0.5, 5.0, 20.0}) {
        for (const std::uint32_t seed : {1, 2, 3}) {
            SCOPED_TRACE(testing::Message() << per_second << "/s, seed " << seed);
            crash_fleet fleet({.seed = seed, .deadly_per_second = per_second});
            fleet.run_for(seconds{per_second < 1 ? 60 : 25});
            expect_only_the_deadly_part_is_refused(fleet);
        }
    }
}

TEST(crash_fleet, lost_datagrams_do_not_hide_a_deadly_part)
{
    for (const std::size_t vms : {3, 12}) {
        for (const std::uint32_t seed : {1, 2, 3, 4}) {
            SCOPED_TRACE(testing::Message() << vms << " VMs, seed " << seed);
            crash_fleet fleet({.vms = vms, .seed = seed, .lost_share = 0.1});
            fleet.run_for(seconds{25});
            expect_only_the_deadly_part_is_refused(fleet);
        }
    }
}

// Guards against a ban of what all requests share where nearly all targets are down, so that few
// answers survive.
TEST(crash_fleet, a_deadly_part_is_found_by_a_small_fleet)
{
    for (const std::size_t targets : {3, 5}) {
        for (std::uint32_t seed = 100; seed < 140; ++seed) {
            SCOPED_TRACE(testing::Message() << targets << " targets, seed " << seed);
            crash_fleet fleet({.regions = 2,
                               .vms = 2,
                               .targets = targets,
                               .seed = seed,
                               .requests_per_second = 20,
                               .sessions = 20});
            fleet.run_for(seconds{30});
            expect_only_the_deadly_part_is_refused(fleet);
        }
    }
}

TEST(crash_fleet, a_deadly_part_is_found_by_a_large_fleet)
{
    crash_fleet fleet({.vms = 98, .targets = 100, .requests_per_second = 600, .sessions = 2'000});
    fleet.run_for(seconds{14});
    expect_only_the_deadly_part_is_refused(fleet);
}

// Guards against crashes in bursts that count as few: the fifth may come long before the third
// burst. The seed has such bursts.
TEST(crash_fleet, a_deadly_part_is_found_when_its_first_crashes_come_in_bursts)
{
    crash_fleet fleet({.seed = 103});
    fleet.run_for(seconds{25});
    ASSERT_LT(fleet.crashes().at(4) - fleet.crashes().front(), milliseconds{600});
    expect_only_the_deadly_part_is_refused(fleet);
}

// Guards against an answer without a length that ends with its crashed target after a whole event:
// it looks complete, but must not clear the part that crashed the target.
TEST(crash_fleet, answers_that_seem_to_end_regularly_do_not_hide_a_deadly_part)
{
    for (const double share : {0.5, 1.0}) {
        for (const std::uint32_t seed : {1, 2, 3, 4}) {
            SCOPED_TRACE(testing::Message() << share << ", seed " << seed);
            crash_fleet fleet({.seed = seed, .unconfirmed_share = share});
            fleet.run_for(seconds{30});
            expect_only_the_deadly_part_is_refused(fleet);
        }
    }
}

// Guards against a ban of what all requests have in common when targets are lost for other reasons.
TEST(crash_fleet, targets_lost_at_once_or_in_turn_ban_no_part)
{
    for (const std::uint32_t seed : {1, 2, 3, 4}) {
        for (const milliseconds pause : {milliseconds{0}, milliseconds{300}, milliseconds{2'000}}) {
            SCOPED_TRACE(testing::Message() << pause.count() << " ms, seed " << seed);
            crash_fleet fleet({.seed = seed, .deadly_per_second = 0});
            fleet.run_for(seconds{5});
            for (std::size_t target = 0; target < 9; ++target) {
                fleet.lose_target(target);
                fleet.run_for(pause);
            }
            fleet.run_for(seconds{20});
            EXPECT_TRUE(fleet.quarantined().empty());
            EXPECT_EQ(fleet.sound_refused(), 0U);
        }
    }
}

// Guards against a ban of innocent parts when connections break while their targets go on.
TEST(crash_fleet, broken_connections_ban_no_part)
{
    for (const double share : {0.02, 0.1}) {
        for (const std::uint32_t seed : {1, 2, 3, 4}) {
            SCOPED_TRACE(testing::Message() << share << ", seed " << seed);
            crash_fleet fleet({.seed = seed, .deadly_per_second = 0, .reset_share = share});
            fleet.run_for(seconds{60});
            EXPECT_TRUE(fleet.quarantined().empty());
            EXPECT_EQ(fleet.sound_refused(), 0U);
        }
    }
}

TEST(crash_fleet, a_deadly_part_is_found_among_broken_connections)
{
    for (const double share : {0.02, 0.1}) {
        for (const std::uint32_t seed : {1, 2, 3, 4}) {
            SCOPED_TRACE(testing::Message() << share << ", seed " << seed);
            crash_fleet fleet({.seed = seed, .reset_share = share});
            fleet.run_for(seconds{30});
            expect_only_the_deadly_part_is_refused(fleet);
        }
    }
}

TEST(crash_fleet, a_restarted_vm_learns_the_quarantine)
{
    crash_fleet fleet({.vms = 3});
    fleet.run_for(seconds{30});
    ASSERT_TRUE(fleet.refuses(5, deadly_part));
    fleet.set_deadly_rate(0);
    fleet.run_for(seconds{20});
    fleet.restart_vm(5);
    ASSERT_FALSE(fleet.refuses(5, deadly_part));
    fleet.run_for(seconds{2});
    EXPECT_TRUE(fleet.refuses(5, deadly_part));
    EXPECT_FALSE(fleet.refuses(5, common_part));
}

// Guards against VMs that prolong a quarantine for each other by their reports.
TEST(crash_fleet, a_quarantine_ends_at_all_vms)
{
    crash_fleet fleet({.vms = 3, .requests_per_second = 10});
    fleet.run_for(seconds{30});
    fleet.set_deadly_rate(0);
    ASSERT_TRUE(fleet.refuses(0, deadly_part));
    const auto last_crash = fleet.crashes().back();
    const auto left = last_crash + first_quarantine_time + seconds{2} - fleet.now();
    fleet.run_for(std::chrono::duration_cast<milliseconds>(left));
    for (std::size_t vm = 0; vm < 9; ++vm) {
        EXPECT_FALSE(fleet.refuses(vm, deadly_part)) << vm;
    }
}

} // namespace
} // namespace chicorylink::fleet
