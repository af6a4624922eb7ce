#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/fleet/placement_coordinator.hpp"
#include "chicorylink/fleet/placement_queries.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <algorithm>
#include <map>
#include <numeric>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::make_query;
using test_support::target_pool_fixture;

const base::incarnation first_run{1};

std::string vm(int number)
{
    return fmt::format("10.0.0.{}", number + 1);
}

target_name name_of(const target_pool& pool, const placement_answer& answer)
{
    return pool.find(answer.target.value())->entry.name;
}

// Requests arrive in bursts at some twenty VMs of a region, faster than the VMs learn of each
// other's load. Without a coordinator all took the target that looked idle, which then had a second
// of prompts to read.
TEST(placement_coordinator, spreads_a_burst_at_many_vms_evenly)
{
    constexpr int vms = 24;
    constexpr int engines = 12;
    target_pool_fixture targets(engines);
    placement_coordinator coordinator;
    std::map<target_name, int> load;
    for (int number = 0; number < 4 * engines; ++number) {
        const auto query = make_query(static_cast<std::uint64_t>(number),
                                      static_cast<std::uint64_t>(number) + 100, 0, 2000);
        const auto answer = coordinator.place(targets.pool(), vm(number % vms), first_run, query,
                                              at(milliseconds{1000 + number}));
        ASSERT_TRUE(answer.is_reserved);
        ++load[name_of(targets.pool(), answer)];
    }
    EXPECT_EQ(load.size(), engines);
    for (const auto& [name, count] : load) {
        EXPECT_EQ(count, 4) << name.text();
    }
}

// Without shared knowledge, a third of the tokens that engines read were session parts that another
// engine of the region had read for another VM.
TEST(placement_coordinator, a_session_goes_to_the_target_that_read_it_for_another_vm)
{
    target_pool_fixture targets(9);
    placement_coordinator coordinator;
    // The session's home target is busy when its first request comes.
    const auto home = coordinator.place(targets.pool(), vm(0), first_run,
                                        make_query(1, 42, 5000, 1000), at(seconds{1}));
    coordinator.apply_note(targets.pool(), vm(0), {1, placement_event::ended, std::nullopt, {}},
                           at(seconds{1}));
    target_pool_fixture fresh(9);
    placement_coordinator other;
    auto busy = make_query(1, 7, 0, 60'000);
    for (const auto& [name, target] : fresh.pool().targets()) {
        if (name != name_of(targets.pool(), home)) {
            busy.avoided.push_back(target.id);
        }
    }
    ASSERT_TRUE(other.place(fresh.pool(), vm(0), first_run, busy, at(seconds{1})).is_reserved);
    const auto first =
        other.place(fresh.pool(), vm(1), first_run, make_query(2, 42, 5000, 1000), at(seconds{1}));
    EXPECT_NE(first.target, home.target);
    other.apply_note(fresh.pool(), vm(0), {1, placement_event::begun, std::nullopt, {}},
                     at(seconds{2}));
    other.apply_note(fresh.pool(), vm(1), {2, placement_event::begun, std::nullopt, {}},
                     at(seconds{2}));
    const auto second =
        other.place(fresh.pool(), vm(2), first_run, make_query(3, 42, 5000, 1000), at(seconds{3}));
    EXPECT_EQ(second.target, first.target);
    EXPECT_EQ(second.unread_tokens, 1000U);
}

TEST(placement_coordinator, a_reserved_place_counts_until_its_notes_arrive)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    const auto place = [&](std::uint64_t number, base::time_point now) {
        return coordinator.place(targets.pool(), vm(0), first_run,
                                 make_query(number, number, 0, 6000), now);
    };
    ASSERT_TRUE(place(1, at(seconds{1})).is_reserved);
    EXPECT_GE(place(2, at(seconds{1})).wait, milliseconds{90});
    coordinator.apply_note(targets.pool(), vm(0), {1, placement_event::begun, std::nullopt, {}},
                           at(seconds{1}));
    coordinator.apply_note(targets.pool(), vm(0), {2, placement_event::ended, std::nullopt, {}},
                           at(seconds{1}));
    // A note that arrives twice is not subtracted again.
    coordinator.apply_note(targets.pool(), vm(0), {2, placement_event::ended, std::nullopt, {}},
                           at(seconds{1}));
    EXPECT_LT(place(3, at(seconds{1})).wait, milliseconds{10});
    EXPECT_EQ(coordinator.reservations(), 2U);
}

TEST(placement_coordinator, releases_places_whose_notes_were_lost)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    (void)coordinator.place(targets.pool(), vm(0), first_run, make_query(1, 1, 0, 60'000),
                            at(seconds{1}));
    coordinator.tick(targets.pool(), at(seconds{8}));
    EXPECT_EQ(reserved_tokens_before(targets.pool().targets().begin()->second, 9), 0U);
    EXPECT_EQ(coordinator.reservations(), 1U);
    coordinator.tick(targets.pool(), at(seconds{30}));
    EXPECT_EQ(coordinator.reservations(), 0U);
    EXPECT_EQ(targets.pool().targets().begin()->second.reserved.in_flight, 0U);
}

TEST(placement_coordinator, releases_places_of_a_lost_or_restarted_vm)
{
    target_pool_fixture targets(2);
    placement_coordinator coordinator;
    (void)coordinator.place(targets.pool(), vm(0), first_run, make_query(1, 1, 0, 60'000),
                            at(seconds{1}));
    (void)coordinator.place(targets.pool(), vm(1), first_run, make_query(1, 2, 0, 60'000),
                            at(seconds{1}));
    coordinator.release_all(targets.pool(), vm(0));
    EXPECT_EQ(coordinator.reservations(), 1U);
    (void)coordinator.place(targets.pool(), vm(1), base::incarnation{2}, make_query(1, 3, 0, 600),
                            at(seconds{1}));
    EXPECT_EQ(coordinator.reservations(), 1U);
    std::uint64_t unread = 0;
    for (const auto& [name, target] : targets.pool().targets()) {
        const auto& tokens = target.reserved.unread_tokens;
        unread += std::accumulate(tokens.begin(), tokens.end(), std::uint64_t{0});
    }
    EXPECT_EQ(unread, 600U);
}

TEST(placement_coordinator, reserves_nothing_when_a_request_would_begin_too_late)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    (void)coordinator.place(targets.pool(), vm(0), first_run, make_query(1, 1, 0, 60'000),
                            at(seconds{1}));
    auto late = make_query(2, 2, 0, 2000);
    late.longest_wait = milliseconds{420};
    const auto answer = coordinator.place(targets.pool(), vm(1), first_run, late, at(seconds{1}));
    EXPECT_FALSE(answer.is_reserved);
    EXPECT_TRUE(answer.target);
    EXPECT_GE(answer.wait, milliseconds{900});
    EXPECT_EQ(coordinator.reservations(), 1U);
}

TEST(placement_coordinator, an_urgent_request_waits_for_only_one_less_urgent_prompt)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        auto less_urgent = make_query(number, number, 0, 6'000);
        less_urgent.urgency = 3;
        (void)coordinator.place(targets.pool(), vm(0), first_run, less_urgent, at(seconds{1}));
    }
    auto urgent = make_query(20, 20, 0, 2000);
    urgent.longest_wait = milliseconds{420};
    const auto answer = coordinator.place(targets.pool(), vm(1), first_run, urgent, at(seconds{1}));
    EXPECT_TRUE(answer.is_reserved);
    EXPECT_GE(answer.wait, milliseconds{100});
}

TEST(placement_coordinator, a_less_urgent_request_expects_more_urgent_ones_to_come)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    (void)coordinator.place(targets.pool(), vm(0), first_run, make_query(1, 1, 0, 12'000),
                            at(seconds{1}));
    auto later = make_query(2, 2, 0, 2000);
    later.urgency = 3;
    EXPECT_GE(coordinator.place(targets.pool(), vm(1), first_run, later, at(seconds{1})).wait,
              milliseconds{400});
}

// Twenty targets of a region stopped answering and still got its requests for another second.
TEST(placement_coordinator, a_target_with_an_overdue_request_gets_no_more)
{
    target_pool_fixture targets(2);
    placement_coordinator coordinator;
    const auto first = coordinator.place(targets.pool(), vm(0), first_run, make_query(1, 1, 0, 600),
                                         at(seconds{1}));
    coordinator.tick(targets.pool(), at(milliseconds{1250}));
    for (std::uint64_t number = 2; number < 5; ++number) {
        const auto next =
            coordinator.place(targets.pool(), vm(1), first_run, make_query(number, number, 0, 600),
                              at(milliseconds{1250}));
        EXPECT_NE(next.target, first.target);
    }
    coordinator.apply_note(targets.pool(), vm(0), {1, placement_event::begun, std::nullopt, {}},
                           at(milliseconds{1260}));
    coordinator.tick(targets.pool(), at(milliseconds{1260}));
    EXPECT_EQ(coordinator
                  .place(targets.pool(), vm(1), first_run, make_query(9, 9, 0, 600),
                         at(milliseconds{1260}))
                  .target,
              first.target);
}

// Requests of a team of low rank starved at busy targets. The targets then counted as late by the
// time that these requests had waited, and got no requests although they were idle by then.
TEST(placement_coordinator, an_overtaken_request_does_not_make_its_target_late)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    auto last = make_query(1, 1, 0, 600);
    last.urgency = 9;
    (void)coordinator.place(targets.pool(), vm(0), first_run, last, at(seconds{1}));
    (void)coordinator.place(targets.pool(), vm(0), first_run, make_query(2, 2, 0, 600),
                            at(seconds{1}));
    coordinator.apply_note(targets.pool(), vm(0), {2, placement_event::begun, std::nullopt, {}},
                           at(milliseconds{1990}));
    coordinator.tick(targets.pool(), at(seconds{2}));
    const auto next = coordinator.place(targets.pool(), vm(0), first_run, make_query(3, 3, 0, 600),
                                        at(seconds{2}));
    EXPECT_LT(next.wait, milliseconds{50});
}

TEST(placement_coordinator, never_places_at_cold_or_avoided_targets)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    auto query = make_query(1, 1, 0, 1000);
    query.avoided = {targets.pool().targets().begin()->second.id};
    EXPECT_FALSE(coordinator.place(targets.pool(), vm(0), first_run, query, at(seconds{1})).target);
    target_pool_fixture cold(0);
    cold.publish("e0", "engine,cold");
    EXPECT_FALSE(
        coordinator.place(cold.pool(), vm(0), first_run, make_query(1, 1, 0, 1000), at(seconds{2}))
            .target);
}

// A VM that was cut off from all targets reported each of them as unreachable.
TEST(placement_coordinator, a_cut_off_vm_does_not_eject_the_targets_of_its_region)
{
    target_pool_fixture targets(3);
    placement_coordinator coordinator;
    for (std::uint64_t number = 1; number <= 3; ++number) {
        auto query = make_query(number, number, 0, 1000);
        const auto answer =
            coordinator.place(targets.pool(), vm(0), first_run, query, at(seconds{1}));
        ASSERT_TRUE(answer.is_reserved);
        coordinator.apply_note(targets.pool(), vm(0),
                               {number, placement_event::ended, target_outcome::unreachable, {}},
                               at(seconds{1}));
    }
    for (const auto& [name, target] : targets.pool().targets()) {
        EXPECT_FALSE(is_ejected(target.health, at(seconds{1}))) << name.text();
    }
}

TEST(placement_codec, a_message_survives_a_round_trip)
{
    placement_message message;
    message.run = base::incarnation{77};
    message.queries = {make_query(1, 42, 5000, 1000), make_query(2, 1, 0, 0)};
    message.queries[0].urgency = 4;
    message.queries[0].longest_start = milliseconds::max();
    message.queries[0].avoided = {base::target_id{9}};
    message.queries[1].engine_prompt = std::nullopt;
    message.answers = {{5, true, base::target_id{8}, milliseconds{1}, milliseconds{2}, 3}, {6}};
    message.notes = {{7, placement_event::begun, std::nullopt, {}},
                     {8, placement_event::ended, target_outcome::broken, milliseconds{30}}};
    const auto bytes = encode(message);
    bool read = false;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(decoded, decode_placement(bytes));
            read = true;
            EXPECT_EQ(decoded.run, message.run);
            EXPECT_EQ(decoded.queries.size(), 2U);
            EXPECT_EQ(decoded.queries[0].engine_prompt->parts.size(), 2U);
            EXPECT_EQ(decoded.queries[0].engine_prompt->session, 42U);
            EXPECT_EQ(decoded.queries[0].urgency, 4);
            EXPECT_GT(decoded.queries[0].longest_start, std::chrono::hours{24});
            EXPECT_EQ(decoded.queries[0].avoided, message.queries[0].avoided);
            EXPECT_FALSE(decoded.queries[1].engine_prompt);
            EXPECT_EQ(decoded.answers[0].target, message.answers[0].target);
            EXPECT_TRUE(decoded.answers[0].is_reserved);
            EXPECT_FALSE(decoded.answers[1].target);
            EXPECT_FALSE(decoded.notes[0].outcome);
            EXPECT_EQ(decoded.notes[1].outcome, target_outcome::broken);
            EXPECT_EQ(decoded.notes[1].took, milliseconds{30});
            return {};
        },
        [](const base::error& problem) { ADD_FAILURE() << base::describe(problem); }, [] {});
    EXPECT_TRUE(read);
}

TEST(placement_codec, rejects_malformed_bytes)
{
    const std::vector<std::uint8_t> noise(100, 0x41);
    bool refused = false;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_CHECK(decode_placement(noise));
            return {};
        },
        [&](const base::error&) { refused = true; }, [] {});
    EXPECT_TRUE(refused);
}

} // namespace
} // namespace chicorylink::fleet
