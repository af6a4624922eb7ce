#include "chicorylink/scheduling/target_speed.hpp"

#include <cmath>
#include <limits>

#include <gtest/gtest.h>

namespace chicorylink::scheduling {
namespace {

using std::chrono::milliseconds;

base::time_point at(int ms)
{
    return base::time_point{milliseconds{ms}};
}

target_speed with_samples(double ratio, std::size_t count, base::time_point now)
{
    target_speed speed;
    for (std::size_t number = 0; number < count; ++number) {
        add_sample(speed, ratio, now);
    }
    return speed;
}

// Guards against a target that draws all work, or none, by stating nonsense.
TEST(target_speed, a_statement_is_clamped_and_expires)
{
    target_speed speed;
    EXPECT_TRUE(note_statement(speed, 1e9, at(1000), at(1000)));
    EXPECT_EQ(time_factor(speed, at(1000)), max_time_factor);
    EXPECT_TRUE(note_statement(speed, 0.001, at(1001), at(1001)));
    EXPECT_EQ(time_factor(speed, at(1001)), min_time_factor);
    EXPECT_EQ(time_factor(speed, at(1501)), min_time_factor);
    EXPECT_EQ(time_factor(speed, at(1502)), 1);
    for (const double nonsense :
         {0.0, -5.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
        EXPECT_FALSE(note_statement(speed, nonsense, at(1600), at(1600)));
    }
    EXPECT_EQ(time_factor(speed, at(1600)), 1);
}

// Statements come by way of several VMs and out of order.
TEST(target_speed, an_older_statement_does_not_replace_a_newer_one)
{
    target_speed speed;
    EXPECT_TRUE(note_statement(speed, 250, at(1200), at(1210)));
    EXPECT_FALSE(note_statement(speed, 100, at(1100), at(1220)));
    EXPECT_FALSE(note_statement(speed, 100, at(600), at(1220)));
    EXPECT_EQ(time_factor(speed, at(1220)), 2.5);
}

// Guards against errors of the expected queue, and changes during a request, that count as speed.
TEST(target_speed, only_requests_that_hardly_waited_are_samples)
{
    EXPECT_EQ(start_ratio({100, 10, 160, {}, {}}), 1.6);
    EXPECT_EQ(start_ratio({100, 60, 160, {}, {}}), std::nullopt);
    EXPECT_EQ(start_ratio({0, 0, 160, {}, {}}), std::nullopt);
    EXPECT_NEAR(start_ratio({100, 10, 250, 2.5, 2.5}).value(), 1, 1e-9);
    EXPECT_NEAR(start_ratio({100, 10, 250, {}, 2.5}).value(), 1, 1e-9);
    EXPECT_EQ(start_ratio({100, 10, 160, 2.5, 1.0}), std::nullopt);
}

// Guards against the two earlier attempts, which took evictions for slowness.
TEST(target_speed, prompt_parts_read_again_do_not_make_a_target_slow)
{
    target_speed speed;
    for (int number = 0; number < 32; ++number) {
        add_sample(speed, number % 3 == 0 ? 1.0 : 2.4, at(1000));
    }
    EXPECT_FALSE(update_learned(speed, 1.0, at(1000)));
    EXPECT_EQ(time_factor(speed, at(1000)), 1);
}

TEST(target_speed, a_factor_needs_samples_and_forgets_them)
{
    auto speed = with_samples(1.667, min_speed_samples - 1, at(1000));
    EXPECT_FALSE(low_ratio(speed, at(1000)));
    EXPECT_FALSE(update_learned(speed, 1.0, at(1000)));
    EXPECT_EQ(time_factor(speed, at(1000)), 1);
    speed = with_samples(1.667, max_speed_samples, at(1000));
    EXPECT_TRUE(update_learned(speed, 1.0, at(1000)));
    EXPECT_TRUE(speed.is_slow);
    EXPECT_NEAR(time_factor(speed, at(1000)), 1.667, 0.07);
    EXPECT_EQ(time_factor(speed, at(301'001)), 1);
    speed = with_samples(100, max_speed_samples, at(1000));
    (void)update_learned(speed, 1.0, at(1000));
    EXPECT_EQ(speed.learned, max_time_factor);
}

// Guards against a fleet of equal targets that is served other than before.
TEST(target_speed, small_differences_count_as_equal)
{
    for (const double ratio : {0.94, 1.0, 1.08}) {
        auto speed = with_samples(ratio, max_speed_samples, at(1000));
        EXPECT_FALSE(update_learned(speed, 1.0, at(1000)));
        EXPECT_EQ(time_factor(speed, at(1000)), 1);
    }
}

TEST(target_speed, the_usual_ratio_is_the_median_of_the_targets)
{
    EXPECT_EQ(usual_ratio({}), 1);
    EXPECT_EQ(usual_ratio({1.7, 0.6, 1.0}), 1.0);
    EXPECT_NEAR(usual_ratio({2.0, 0.5}), 1.0, 1e-9);
}

// Guards against a log line for each sample of a target near the bound.
TEST(target_speed, a_slow_target_is_reported_once)
{
    auto speed = with_samples(1.6, max_speed_samples, at(1000));
    EXPECT_TRUE(update_learned(speed, 1.0, at(1000)));
    EXPECT_FALSE(update_learned(speed, 1.2, at(1000)));
    EXPECT_TRUE(speed.is_slow);
    EXPECT_TRUE(update_learned(speed, 1.5, at(1000)));
    EXPECT_FALSE(speed.is_slow);
}

} // namespace
} // namespace chicorylink::scheduling
