#include "chicorylink/fleet/engine_simulation.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::engine_simulation;
using test_support::make_query;
using test_support::target_pool_fixture;

constexpr std::uint32_t prompt_tokens = 3000;
/// Of the 160 that eight engines can read in a second.
constexpr double requests_per_second = 110;

const std::string vm = "10.0.0.1";
const base::incarnation run{1};

const scheduling::start_window& window_of(const target_pool& pool, const char* name)
{
    return pool.find(target_name{name})->window;
}

// Guards against a fresh engine among busy ones that is flooded, as it looks idle, and whose first
// requests take long, and against one that is left idle.
TEST(start_window_placement, a_slow_fresh_engine_is_neither_flooded_nor_idle)
{
    engine_simulation engines(8);
    engines.factor = [](const std::string& name, double now) {
        return name == "e8" && now < 14'000 ? 8.0 : 1.0;
    };
    // Each engine has a second of prompts to read then.
    (void)engines.run(1000, 10'000, 185, prompt_tokens);
    engines.targets().publish("e8", "engine", false, engine_simulation::time(10'000));
    auto sums = engines.run(10'000, 13'000, 150, prompt_tokens);
    EXPECT_LE(sums.most_in_progress["e8"], 6U);
    EXPECT_GE(sums.placed["e8"], 5);
    EXPECT_EQ(sums.refused, 0);
    (void)engines.run(13'000, 22'000, requests_per_second, prompt_tokens);
    sums = engines.run(22'000, 27'000, requests_per_second, prompt_tokens);
    EXPECT_NEAR(sums.placed["e8"], 5 * requests_per_second / 9, 25);
}

TEST(start_window_placement, a_healthy_fresh_engine_reaches_its_share_within_seconds)
{
    engine_simulation engines(8);
    (void)engines.run(1000, 10'000, requests_per_second, prompt_tokens, 2000);
    engines.targets().publish_run("e0", "engine", 5, engine_simulation::time(10'000));
    ASSERT_TRUE(window_of(engines.pool(), "e0").is_limiting);
    (void)engines.run(10'000, 13'000, requests_per_second, prompt_tokens, 2000);
    auto sums = engines.run(13'000, 18'000, requests_per_second, prompt_tokens, 2000);
    EXPECT_NEAR(sums.placed["e0"], 5 * requests_per_second / 8, 25);
    EXPECT_EQ(sums.refused, 0);
}

// Guards against fresh engines that stay small as all engines take longer than the program assumes.
TEST(start_window_placement, a_fresh_engine_is_compared_with_its_service)
{
    engine_simulation engines(8);
    engines.factor = [](const auto&, double) { return 4.5; };
    (void)engines.run(1000, 20'000, 20, prompt_tokens);
    engines.targets().publish_run("e0", "engine", 5, engine_simulation::time(20'000));
    (void)engines.run(20'000, 25'000, 20, prompt_tokens);
    EXPECT_GE(window_of(engines.pool(), "e0").size, 10);
}

// A target that keeps a request waiting shrinks before the request's response comes or fails.
TEST(start_window_placement, a_target_that_gets_slower_shrinks_at_once)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    targets.publish_run("e0", "engine", 5, at(seconds{10}));
    const auto place = [&](std::uint64_t number, milliseconds now) {
        return coordinator.place(targets.pool(), vm, run, make_query(number, number, 0, 600),
                                 at(now));
    };
    target_pace start;
    for (start.number = 1; start.number <= 12; ++start.number) {
        const milliseconds sent{10'000 + 100 * start.number};
        ASSERT_TRUE(place(start.number, sent).is_reserved);
        start.took = milliseconds{50};
        (void)coordinator.apply_start(targets.pool(), vm, start, at(sent + start.took));
        coordinator.apply_note(targets.pool(), vm,
                               {start.number, placement_event::begun, std::nullopt, {}},
                               at(sent + start.took));
    }
    EXPECT_EQ(window_of(targets.pool(), "e0").size, 16);
    ASSERT_TRUE(place(100, milliseconds{12'000}).is_reserved);
    ASSERT_TRUE(place(101, milliseconds{12'000}).is_reserved);
    coordinator.tick(targets.pool(), at(milliseconds{12'100}));
    EXPECT_EQ(window_of(targets.pool(), "e0").size, 16);
    coordinator.tick(targets.pool(), at(milliseconds{12'300}));
    EXPECT_EQ(window_of(targets.pool(), "e0").size, 8);
    ASSERT_TRUE(place(102, milliseconds{12'310}).is_reserved);
    coordinator.apply_note(
        targets.pool(), vm,
        {102, placement_event::ended, target_outcome::server_error, milliseconds{5}},
        at(milliseconds{12'320}));
    EXPECT_EQ(window_of(targets.pool(), "e0").size, 4);
}

// Guards against refusals when a whole service is restarted.
TEST(start_window_placement, restarts_of_all_targets_refuse_no_request)
{
    engine_simulation engines(8);
    (void)engines.run(1000, 10'000, requests_per_second, prompt_tokens, 2000);
    for (int number = 0; number < 8; ++number) {
        engines.targets().publish_run(fmt::format("e{}", number), "engine", 5,
                                      engine_simulation::time(10'000));
    }
    const auto sums = engines.run(10'000, 15'000, requests_per_second, prompt_tokens, 2000);
    EXPECT_EQ(sums.refused, 0);
    for (const auto& [name, count] : sums.placed) {
        EXPECT_NEAR(count, 5 * requests_per_second / 8, 25) << name;
    }
}

TEST(start_window_placement, the_least_filled_of_all_limited_targets_is_used)
{
    target_pool_fixture targets(2);
    placement_coordinator coordinator;
    targets.publish_run("e0", "engine", 5, at(seconds{10}));
    targets.publish_run("e1", "engine", 5, at(seconds{10}));
    std::map<base::target_id, int> placed;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        const auto answer = coordinator.place(targets.pool(), vm, run,
                                              make_query(number, number, 0, 60), at(seconds{10}));
        ASSERT_TRUE(answer.is_reserved);
        ++placed[*answer.target];
    }
    EXPECT_EQ(placed.size(), 2U);
    for (const auto& [target, count] : placed) {
        EXPECT_EQ(count, 10);
    }
    EXPECT_EQ(coordinator.beyond_windows(), 12U);
}

// Guards against an ejected target that gets the requests which windows hold back elsewhere.
TEST(start_window_placement, a_target_beyond_its_window_is_better_than_an_ejected_one)
{
    target_pool_fixture targets(2);
    placement_coordinator coordinator;
    targets.publish_run("e0", "engine", 5, at(seconds{10}));
    for (std::uint32_t count = 0; count < ejection_threshold; ++count) {
        (void)targets.pool().on_outcome(target_name{"e1"}, target_outcome::broken, {},
                                        at(seconds{10}));
    }
    const auto fresh = targets.pool().find(target_name{"e0"})->id;
    for (std::uint64_t number = 1; number <= 10; ++number) {
        const auto answer = coordinator.place(targets.pool(), vm, run,
                                              make_query(number, number, 0, 60), at(seconds{10}));
        EXPECT_EQ(answer.target, fresh);
    }
}

// A coordinator that has just taken over must not hold back the whole region.
TEST(start_window_placement, only_targets_that_start_or_return_are_limited)
{
    target_pool_fixture targets(2);
    EXPECT_FALSE(window_of(targets.pool(), "e0").is_limiting);
    targets.publish("e2", "engine", false, at(seconds{5}));
    EXPECT_FALSE(window_of(targets.pool(), "e2").is_limiting);
    targets.publish("e3", "engine", false, at(seconds{20}));
    EXPECT_TRUE(window_of(targets.pool(), "e3").is_limiting);
    EXPECT_FALSE(window_of(targets.pool(), "e0").is_limiting);
    const target_name ejected{"e0"};
    for (std::uint32_t count = 0; count < ejection_threshold; ++count) {
        (void)targets.pool().on_outcome(ejected, target_outcome::broken, {}, at(seconds{20}));
    }
    EXPECT_FALSE(window_of(targets.pool(), "e0").is_limiting);
    (void)targets.pool().on_outcome(ejected, target_outcome::answered, {}, at(seconds{22}));
    EXPECT_TRUE(window_of(targets.pool(), "e0").is_limiting);
    const auto events = targets.pool().take_window_events();
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events.at(0).cause, "added");
    EXPECT_EQ(events.at(1).cause, "readmitted");
}

// While a target is cold, the stated rate of cold targets governs it.
TEST(start_window_placement, a_cold_target_begins_when_it_is_warm)
{
    target_pool_fixture targets(2);
    placement_coordinator coordinator;
    targets.publish("e2", "engine,cold", false, at(seconds{10}));
    coordinator.tick(targets.pool(), at(seconds{12}));
    EXPECT_EQ(window_of(targets.pool(), "e2").begun_at, at(seconds{10}));
    coordinator.tick(targets.pool(), at(milliseconds{13'010}));
    EXPECT_TRUE(window_of(targets.pool(), "e2").is_limiting);
    EXPECT_EQ(window_of(targets.pool(), "e2").begun_at, at(milliseconds{13'010}));
    coordinator.tick(targets.pool(), at(milliseconds{23'010}));
    EXPECT_FALSE(window_of(targets.pool(), "e2").is_limiting);
}

// A plain service tells of a response when it is complete.
TEST(start_window_placement, a_plain_target_grows_with_complete_responses)
{
    target_pool_fixture targets(0, 1);
    placement_coordinator coordinator;
    targets.publish_run("p0", "plain", 5, at(seconds{10}));
    for (std::uint64_t number = 1; number <= 4; ++number) {
        auto query = make_query(number, number, 0, 0);
        query.service = service_name{"plain"};
        query.engine_prompt.reset();
        ASSERT_TRUE(coordinator.place(targets.pool(), vm, run, query, at(seconds{10})).is_reserved);
        const placement_note note{number, placement_event::ended, target_outcome::answered,
                                  milliseconds{40}};
        // The coordinator's own requests count as well.
        if (number % 2 == 0) {
            coordinator.apply_own_note(targets.pool(), vm, note, at(milliseconds{10'040}));
        }
        else {
            coordinator.apply_note(targets.pool(), vm, note, at(milliseconds{10'040}));
        }
    }
    EXPECT_FALSE(window_of(targets.pool(), "p0").is_limiting);
}

} // namespace
} // namespace chicorylink::fleet
