#include "chicorylink/scheduling/prefill_budget.hpp"

#include <gtest/gtest.h>

namespace chicorylink::scheduling {
namespace {

using base::milliseconds;

constexpr double tokens_per_ms = 60;
constexpr std::uint8_t urgent = 0;
constexpr std::uint8_t less_urgent = 2;

base::time_point at(int ms)
{
    return base::time_point{milliseconds{ms}};
}

/// Offers prompts every 10 ms for ten seconds; those that would wait longer than a bound are
/// refused.
/// @return Milliseconds that the engine reads, of the ten seconds.
double read_ms(std::uint32_t tokens, std::uint8_t urgency, double longest_wait_ms)
{
    prefill_budget budget;
    double read = 0;
    for (int now = 0; now < 10'000; now += 10) {
        if (wait_ms(budget, urgency, tokens_per_ms, at(now)) > longest_wait_ms) {
            continue;
        }
        serve(budget, tokens_per_ms, at(now));
        place(budget, tokens, urgency);
        read += tokens / tokens_per_ms;
    }
    return read;
}

// Guards against an engine that reads prompts without a pause at a peak, so that its running
// streams get a token every 35 ms and are cut at their deadlines.
TEST(prefill_budget, a_peak_leaves_time_for_the_tokens_of_streams)
{
    constexpr double longest_wait_ms = 500;
    const double read = read_ms(6'000, less_urgent, longest_wait_ms);
    EXPECT_LT(read, 10'000 * 0.9 + 2 * longest_wait_ms);
    EXPECT_GT(read, 10'000 * 0.8);
}

// Guards against refusals at an engine that has time left.
TEST(prefill_budget, a_usual_load_waits_for_nothing)
{
    prefill_budget budget;
    for (int now = 0; now < 10'000; now += 100) {
        EXPECT_LT(wait_ms(budget, less_urgent, tokens_per_ms, at(now)), 1);
        serve(budget, tokens_per_ms, at(now));
        place(budget, 4'000, less_urgent);
    }
}

// Guards against urgent prompts that wait behind a queue which the engine lets them overtake.
TEST(prefill_budget, urgent_prompts_do_not_wait_for_others)
{
    prefill_budget budget;
    for (int number = 0; number < 10; ++number) {
        place(budget, 12'000, less_urgent);
    }
    EXPECT_LT(wait_ms(budget, urgent, tokens_per_ms, at(0)), 1);
    place(budget, 2'400, urgent);
    EXPECT_GT(wait_ms(budget, less_urgent, tokens_per_ms, at(0)), 1'500);
    EXPECT_LT(wait_ms(budget, urgent, tokens_per_ms, at(1'000)), 1);
}

// Guards against callers that are refused because of others that have left.
TEST(prefill_budget, prompts_that_were_never_read_are_taken_back)
{
    prefill_budget budget;
    place(budget, 60'000, less_urgent);
    EXPECT_GT(wait_ms(budget, less_urgent, tokens_per_ms, at(0)), 500);
    cancel(budget, 60'000, less_urgent);
    EXPECT_LT(wait_ms(budget, less_urgent, tokens_per_ms, at(0)), 1);
}

// Guards against a clock of another VM or a late call that would give tokens back.
TEST(prefill_budget, time_that_runs_backwards_serves_nothing)
{
    prefill_budget budget;
    serve(budget, tokens_per_ms, at(1'000));
    place(budget, 60'000, less_urgent);
    const double before = wait_ms(budget, less_urgent, tokens_per_ms, at(1'000));
    serve(budget, tokens_per_ms, at(500));
    EXPECT_DOUBLE_EQ(wait_ms(budget, less_urgent, tokens_per_ms, at(1'000)), before);
}

} // namespace
} // namespace chicorylink::scheduling
