#include "chicorylink/fleet/engine_pace.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/placement_desk.hpp"
#include "chicorylink/fleet/pool_of_targets.hpp"
#include "chicorylink/fleet/region_choice.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using test_support::at;
using test_support::pool_of_targets;

milliseconds took(double tokens, double speed, double first_token)
{
    return milliseconds{static_cast<std::int64_t>(tokens / speed + first_token)};
}

struct true_pace {
    double speed = 0;
    double first_token = 0;
};

class measured_engines : public testing::TestWithParam<true_pace> {};

// A deployment's engines read between 10 and 300 tokens a millisecond; few of its prompts are long.
TEST_P(measured_engines, are_known_after_some_requests_though_many_are_disturbed)
{
    const auto [speed, first_token] = GetParam();
    pace_meter meter;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> part(0, 1);
    for (int number = 0; number < 600; ++number) {
        const double tokens =
            part(random) < 0.1 ? 20'000 + 20'000 * part(random) : 100 + 300 * part(random);
        const double stalled = part(random) < 0.25 ? 2000 * part(random) : 0;
        meter.note_begun(static_cast<std::uint64_t>(tokens),
                         took(tokens, speed, first_token + stalled), at(milliseconds{number}));
    }
    ASSERT_TRUE(meter.measured());
    EXPECT_NEAR(meter.measured()->tokens_per_ms / speed, 1.0, 0.35);
    EXPECT_NEAR(meter.measured()->first_token_ms, first_token, 60);
}

INSTANTIATE_TEST_SUITE_P(speeds, measured_engines,
                         testing::Values(true_pace{10, 80}, true_pace{38, 36}, true_pace{68, 20},
                                         true_pace{300, 120}));

TEST(pace_meter, requests_of_one_length_say_nothing)
{
    pace_meter meter;
    for (int number = 0; number < 200; ++number) {
        meter.note_begun(300 + number % 100, milliseconds{40}, at(milliseconds{number}));
    }
    EXPECT_FALSE(meter.measured());
}

TEST(pace_meter, a_release_that_changes_the_engines_is_followed)
{
    pace_meter meter;
    const auto run = [&](double speed) {
        for (int number = 0; number < 200; ++number) {
            const double tokens = number % 4 == 0 ? 16'500 + number : 200 + number;
            meter.note_begun(static_cast<std::uint64_t>(tokens), took(tokens, speed, 30),
                             at(milliseconds{number}));
        }
        return meter.measured()->tokens_per_ms;
    };
    EXPECT_NEAR(run(60), 60, 6);
    EXPECT_NEAR(run(20), 20, 2);
}

TEST(pace_meter, impossible_times_stay_within_bounds)
{
    pace_meter meter;
    for (int number = 0; number < 100; ++number) {
        meter.note_begun(number % 2 == 0 ? 10 : 4'000'000'000ULL, milliseconds{1 + number % 2},
                         at(milliseconds{number}));
    }
    ASSERT_TRUE(meter.measured());
    EXPECT_LE(meter.measured()->tokens_per_ms, most_tokens_per_ms);
}

/// Engines that read prompts one after the other, behind a desk, in virtual time.
class engines_behind_a_desk {
public:
    engines_behind_a_desk(int count, double speed) : m_targets(count), m_speed(speed) {}

    /// A request of a prompt that nobody holds; when its first token comes, if it is placed.
    std::optional<milliseconds> ask(std::uint32_t tokens, milliseconds objective)
    {
        placement_ask ask;
        ask.number = ++m_last;
        ask.service = service_name{"engine"};
        prompt asked;
        asked.prompt_tokens = tokens;
        asked.parts = {{1'000'000 + m_last, tokens}};
        asked.session = 1'000'000 + m_last;
        ask.asked = asked;
        region_request needs;
        needs.is_engine = true;
        needs.prompt_tokens = tokens;
        needs.latency_objective = objective;
        needs.time_left = objective * 4;
        needs.pace = m_targets.pool().pace_of(ask.service);
        ask.longest_wait = longest_wait(needs);
        ask.longest_start = base::milliseconds::max();
        const auto answer =
            m_desk.place(m_targets.pool(), "10.0.0.1", base::incarnation{1}, ask, at(m_now));
        if (!answer.is_reserved) {
            return std::nullopt;
        }
        auto& free_at = m_free_at[answer.target->value()];
        free_at = std::max(free_at, m_now) + took(tokens, m_speed, 0);
        const auto begins = free_at + milliseconds{20};
        m_begins.push_back({begins, m_now, m_last});
        return begins - m_now;
    }

    void run(milliseconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += milliseconds{5}) {
            std::erase_if(m_begins, [&](const beginning& next) {
                if (next.at > m_now) {
                    return false;
                }
                for (const auto event : {placement_event::begun, placement_event::ended}) {
                    m_desk.take_note(m_targets.pool(), "10.0.0.1",
                                     {next.number, event, std::nullopt, next.at - next.sent},
                                     at(m_now));
                }
                return true;
            });
            m_desk.tick(m_targets.pool(), at(m_now));
        }
    }

private:
    struct beginning {
        milliseconds at{0};
        milliseconds sent{0};
        std::uint64_t number = 0;
    };
    pool_of_targets m_targets;
    placement_desk m_desk;
    double m_speed;
    std::uint64_t m_last = 0;
    milliseconds m_now{2000};
    std::map<std::uint64_t, milliseconds> m_free_at;
    std::vector<beginning> m_begins;
};

class overload_by_long_prompts : public testing::TestWithParam<double> {};

// A peak of half more prompt tokens than the engines read, at engines of a speed that nobody set:
// with a fixed 60 tokens a millisecond slow engines got six times the work that they could begin
// in time, and fast ones were left idle.
TEST_P(overload_by_long_prompts, what_is_admitted_begins_within_its_objective)
{
    constexpr int engines = 6;
    constexpr milliseconds objective{1500};
    const double speed = GetParam();
    engines_behind_a_desk line(engines, speed);
    const auto long_tokens = static_cast<std::uint32_t>(speed * 300);
    int admitted = 0;
    int in_time = 0;
    int offered = 0;
    // Prompts of 300 ms of reading each, six engines, half more than they read.
    constexpr milliseconds between{100};
    for (milliseconds passed{0}; passed < std::chrono::seconds{40}; passed += between) {
        const bool warmed_up = passed >= std::chrono::seconds{15};
        for (int number = 0; number < 3; ++number) {
            const auto begins = line.ask(long_tokens, objective);
            offered += warmed_up ? 1 : 0;
            if (warmed_up && begins) {
                ++admitted;
                in_time += *begins <= objective ? 1 : 0;
            }
            (void)line.ask(200, objective);
        }
        line.run(between);
    }
    EXPECT_GE(in_time, admitted * 9 / 10);
    // Two of three fit.
    EXPECT_GE(in_time, offered / 2);
}

INSTANTIATE_TEST_SUITE_P(speeds, overload_by_long_prompts,
                         testing::Values(10.0, 38.0, 150.0, 300.0));

} // namespace
} // namespace chicorylink::fleet
