#include "chicorylink/fleet/engine_simulation.hpp"
#include "chicorylink/fleet/placement_codec.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using test_support::engine_simulation;

constexpr std::uint32_t prompt_tokens = 3000;

/// Engines e0 to e8: three each at 0.6, 1 and 1.6 times the usual speed.
double mixed_factor(const std::string& name, double /*now*/)
{
    constexpr std::array speeds{0.6, 1.0, 1.6};
    return 1 / speeds.at(static_cast<std::size_t>(name.back() - '0') % speeds.size());
}

int placed_at(const engine_simulation::result& sums, int first, int step)
{
    int total = 0;
    for (int number = first; number < 9; number += step) {
        const auto found = sums.placed.find(fmt::format("e{}", number));
        total += found == sums.placed.end() ? 0 : found->second;
    }
    return total;
}

// Guards against slow engines that get as much work as fast ones, and whose waits of seconds are
// expected to be a few hundred milliseconds.
TEST(target_speed_placement, engines_of_different_speeds_get_work_in_proportion)
{
    engine_simulation engines(9);
    engines.factor = mixed_factor;
    (void)engines.run(1000, 21'000, 150, prompt_tokens);
    for (int number = 0; number < 9; ++number) {
        const auto name = fmt::format("e{}", number);
        EXPECT_NEAR(engines.factor_of(name, 21'000) / mixed_factor(name, 0), 1, 0.15) << name;
    }
    // A little more than the 192 requests a second that the engines can serve: when they are idle,
    // the fastest are used first.
    const auto sums = engines.run(21'000, 41'000, 200, prompt_tokens);
    const double slow = placed_at(sums, 0, 3);
    const double usual = placed_at(sums, 1, 3);
    const double fast = placed_at(sums, 2, 3);
    EXPECT_NEAR(usual / slow, 1 / 0.6, 0.25);
    EXPECT_NEAR(fast / usual, 1.6, 0.25);
    EXPECT_EQ(sums.refused, 0);
    EXPECT_NEAR(sums.expected_wait / sums.true_wait, 1, 0.25);
    EXPECT_LT(sums.wait_error, 0.25 * sums.true_wait);
}

// Interference moves among the engines and lasts shorter than anything could be learned.
TEST(target_speed_placement, disturbed_engines_get_less_until_the_disturbance_ends)
{
    engine_simulation engines(20);
    const auto is_disturbed = [](const std::string& name, double now) {
        // Engines 0 to 2 of 20 at first, then the next three, and so on.
        const auto number = std::stoi(name.substr(1));
        const auto first = 3 * (static_cast<int>(now / 600) % 6);
        return number >= first && number < first + 3;
    };
    engines.factor = [&](const auto& name, double now) {
        return is_disturbed(name, now) ? 2.5 : 1;
    };
    engines.stated = [&](const auto& name, double now) {
        return is_disturbed(name, now) ? 250.0 : 100.0;
    };
    int disturbed = 0;
    int all = 0;
    for (int slot = 10; slot < 60; ++slot) {
        // Its first 200 ms are left out: an engine states its disturbance with its next response.
        (void)engines.run(slot * 600, slot * 600 + 200, 280, prompt_tokens);
        const auto sums = engines.run(slot * 600 + 200, (slot + 1) * 600, 280, prompt_tokens);
        for (const auto& [name, count] : sums.placed) {
            disturbed += is_disturbed(name, slot * 600 + 1) ? count : 0;
            all += count;
        }
    }
    // The full share of 3 of 20 engines is 0.15; late responses alone reduce it to 0.06.
    EXPECT_LT(disturbed, 0.045 * all);
    for (int number = 0; number < 20; ++number) {
        const auto name = fmt::format("e{}", number);
        EXPECT_EQ(engines.factor_of(name, 37'000), 1) << name;
    }
    engines.factor = [](const auto&, double) { return 1.0; };
    engines.stated = [](const auto&, double) { return 100.0; };
    (void)engines.run(36'000, 36'500, 280, prompt_tokens);
    const auto after = engines.run(36'500, 46'500, 280, prompt_tokens);
    for (int number = 0; number < 20; ++number) {
        EXPECT_NEAR(after.placed.at(fmt::format("e{}", number)), 140, 50);
    }
}

// Two earlier attempts took an engine that reads evicted parts again for a slow one.
TEST(target_speed_placement, evictions_at_one_engine_do_not_make_it_look_slow)
{
    engine_simulation engines(9);
    int count = 0;
    engines.evicted = [&](const std::string& name) {
        return name == "e4" && ++count % 2 == 0 ? 5400U : 0U;
    };
    (void)engines.run(1000, 31'000, 90, prompt_tokens);
    EXPECT_EQ(engines.factor_of("e4", 31'000), 1);
}

// Guards against a change of how a fleet of equal engines is served.
TEST(target_speed_placement, equal_engines_stay_at_their_usual_speed)
{
    engine_simulation engines(9);
    std::mt19937 random{3};
    std::uniform_real_distribution<double> noise(0.9, 1.1);
    // All of them are far slower than the program assumes.
    engines.factor = [&](const auto&, double) { return 1.8 * noise(random); };
    for (int part = 0; part < 10; ++part) {
        (void)engines.run(1000 + part * 3000, 4000 + part * 3000, 60, prompt_tokens);
        for (const auto& [name, target] : engines.pool().targets()) {
            EXPECT_EQ(engines.factor_of(name.text(), 4000 + part * 3000), 1) << name.text();
        }
    }
}

// A new run may be on another machine.
TEST(target_speed_placement, a_new_run_forgets_the_speed)
{
    engine_simulation engines(9);
    engines.factor = mixed_factor;
    (void)engines.run(1000, 21'000, 150, prompt_tokens);
    ASSERT_GT(engines.factor_of("e0", 21'000), 1.3);
    engines.targets().publish_run("e0", "engine", 77, engine_simulation::time(21'000));
    EXPECT_EQ(engines.factor_of("e0", 21'000), 1);
    // A statement about the earlier run arrives late.
    target_pace statement;
    statement.target = engines.pool().find(target_name{"e0"})->id;
    statement.percent = 300;
    EXPECT_FALSE(engines.pool().on_time_stated(statement, engine_simulation::time(21'001)));
    EXPECT_EQ(engines.factor_of("e0", 21'001), 1);
}

// A VM that gets no answer from its coordinator knows what targets stated to itself.
TEST(target_speed_placement, a_vm_alone_heeds_what_targets_state)
{
    test_support::target_pool_fixture targets(1, 1);
    for (const auto* name : {"e0", "p0"}) {
        target_pace statement;
        statement.target = targets.pool().find(target_name{name})->id;
        statement.percent = 250;
        ASSERT_TRUE(targets.pool().on_time_stated(statement, engine_simulation::time(1000)));
    }
    const auto query = test_support::make_query(1, 2, 0, 6000);
    placement_request request;
    request.service = service_name{"engine"};
    request.engine_prompt = &*query.engine_prompt;
    const auto engine = choose_target(targets.pool(), request, engine_simulation::time(1000));
    EXPECT_EQ(engine->start, base::milliseconds{340});
    EXPECT_EQ(choose_target(targets.pool(), request, engine_simulation::time(1501))->start,
              base::milliseconds{136});
    placement_request plain;
    plain.service = service_name{"plain"};
    EXPECT_EQ(choose_target(targets.pool(), plain, engine_simulation::time(1000))->start,
              base::milliseconds{75});
}

// A plain target without a response drew all requests when it counted as faster than the others.
TEST(target_speed_placement, an_unknown_plain_target_counts_as_usual)
{
    test_support::target_pool_fixture targets(0, 3);
    const auto now = engine_simulation::time(1000);
    for (const auto* name : {"p0", "p1"}) {
        (void)targets.pool().on_outcome(target_name{name}, target_outcome::answered,
                                        base::milliseconds{60}, now);
    }
    placement_request plain;
    plain.service = service_name{"plain"};
    plain.tried = {target_name{"p0"}, target_name{"p1"}};
    EXPECT_EQ(choose_target(targets.pool(), plain, now)->start, base::milliseconds{60});
}

TEST(target_speed_placement, a_message_carries_the_speed_of_targets)
{
    placement_message message;
    message.paces = {{7, base::milliseconds{120}, {}, 0, 0, {}},
                     {0, {}, base::target_id{99}, 1234, 250, base::milliseconds{40}}};
    const auto read = decode_placement(encode(message));
    ASSERT_TRUE(read);
    ASSERT_EQ(read->paces.size(), 2U);
    EXPECT_EQ(read->paces.at(0).number, 7U);
    EXPECT_EQ(read->paces.at(0).took, base::milliseconds{120});
    EXPECT_EQ(read->paces.at(1).target, base::target_id{99});
    EXPECT_EQ(read->paces.at(1).started_ms, 1234);
    EXPECT_EQ(read->paces.at(1).percent, 250);
    EXPECT_EQ(read->paces.at(1).age, base::milliseconds{40});
}

} // namespace
} // namespace chicorylink::fleet
