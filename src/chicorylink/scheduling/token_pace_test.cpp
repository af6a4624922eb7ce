#include "chicorylink/scheduling/token_pace.hpp"

#include <gtest/gtest.h>

namespace chicorylink::scheduling {
namespace {

using base::milliseconds;

base::time_point at(int ms)
{
    return base::time_point{milliseconds{ms}};
}

/// Streams of an engine get 100 tokens every half second, at a pace in milliseconds a token.
void run(token_pace& pace, double ms_per_token, int from_ms, int to_ms)
{
    for (int now = from_ms; now < to_ms; now += 500) {
        note_tokens(pace, 100, 100 * ms_per_token, at(now));
    }
}

// Guards against streams that are accepted although the engine reads prompts without a pause: a
// token takes 35 ms in place of 6, and a stream of 400 tokens ends after its deadline of 12 s.
TEST(token_pace, a_long_stream_takes_long_at_an_engine_that_reads_without_a_pause)
{
    token_pace pace;
    EXPECT_FALSE(decode_time_ms(pace, 400, at(0)));
    run(pace, 6, 0, 10'000);
    EXPECT_NEAR(decode_time_ms(pace, 400, at(10'000)).value(), 2'400, 10);
    run(pace, 35, 10'000, 24'000);
    EXPECT_NEAR(recent_ms(pace), 35, 1);
    EXPECT_GT(decode_time_ms(pace, 400, at(24'000)).value(), 12'000);
    EXPECT_LT(decode_time_ms(pace, 21, at(24'000)).value(), 1'000);
}

// Guards against refusing long streams at the begin of a short peak, after which tokens come fast.
TEST(token_pace, a_slow_period_is_expected_to_last_as_long_again)
{
    token_pace pace;
    run(pace, 6, 0, 10'000);
    run(pace, 35, 10'000, 12'000);
    ASSERT_TRUE(pace.slow_since);
    EXPECT_LT(decode_time_ms(pace, 400, at(12'000)).value(), 6'000);
}

// Guards against an estimate that outlives the load that it describes.
TEST(token_pace, an_old_pace_tells_nothing)
{
    token_pace pace;
    run(pace, 35, 0, 5'000);
    EXPECT_TRUE(decode_time_ms(pace, 400, at(5'000)));
    EXPECT_FALSE(decode_time_ms(pace, 400, at(10'000)));
}

TEST(token_pace, one_late_event_does_not_make_an_engine_slow)
{
    token_pace pace;
    run(pace, 6, 0, 10'000);
    note_tokens(pace, 7, 150, at(10'000));
    EXPECT_FALSE(pace.slow_since);
}

} // namespace
} // namespace chicorylink::scheduling
