#include "chicorylink/scheduling/start_window.hpp"

#include <gtest/gtest.h>

namespace chicorylink::scheduling {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t engine_slots = 64;

base::time_point at(int ms)
{
    return base::time_point{milliseconds{ms}};
}

start_window window_of(std::uint32_t slots)
{
    start_window window;
    begin_window(window, slots, at(1000));
    return window;
}

// Guards against a fresh target that stays idle: each window of good responses doubles it.
TEST(start_window, good_responses_double_it_until_it_reaches_the_slots)
{
    auto window = window_of(engine_slots);
    for (double size = 4; size < engine_slots; size *= 2) {
        ASSERT_EQ(window.size, size);
        EXPECT_FALSE(is_filled(window, static_cast<std::uint32_t>(size) - 1));
        EXPECT_TRUE(is_filled(window, static_cast<std::uint32_t>(size)));
        for (int count = 0; count < size - 1; ++count) {
            ASSERT_EQ(note_good_response(window, engine_slots), window_change::grown);
        }
        const bool is_last = size * 2 == engine_slots;
        ASSERT_EQ(note_good_response(window, engine_slots),
                  is_last ? window_change::full : window_change::grown);
    }
    EXPECT_FALSE(is_filled(window, 1000));
    EXPECT_EQ(note_good_response(window, engine_slots), window_change::none);
}

// Guards against a flooded target: one late response is enough, but the others of the same window
// tell nothing new.
TEST(start_window, a_bad_response_halves_it_once_for_all_requests_sent_before)
{
    auto window = window_of(engine_slots);
    for (int count = 0; count < 36; ++count) {
        (void)note_good_response(window, engine_slots);
    }
    ASSERT_EQ(window.size, 40);
    EXPECT_EQ(note_bad_response(window, at(1500), at(2000)), window_change::shrunk);
    EXPECT_EQ(window.size, 20);
    EXPECT_EQ(note_bad_response(window, at(1999), at(2010)), window_change::none);
    for (int sent = 2000; sent < 2100; sent += 10) {
        (void)note_bad_response(window, at(sent + 1), at(sent + 5));
    }
    EXPECT_EQ(window.size, 4);
}

TEST(start_window, it_ends_after_a_time_without_responses)
{
    auto window = window_of(engine_slots);
    EXPECT_EQ(expire_window(window, at(10'999)), window_change::none);
    EXPECT_EQ(expire_window(window, at(11'000)), window_change::expired);
    EXPECT_FALSE(is_filled(window, 63));
    EXPECT_EQ(expire_window(window, at(11'001)), window_change::none);
}

TEST(start_window, a_target_with_few_slots_begins_with_two_requests)
{
    EXPECT_TRUE(is_filled(window_of(6), 2));
    EXPECT_FALSE(is_filled(window_of(6), 1));
    EXPECT_FALSE(window_of(2).is_limiting);
    EXPECT_FALSE(is_filled(start_window{}, 1000));
}

TEST(start_window, a_response_is_late_beyond_a_multiple_of_its_expected_time)
{
    EXPECT_FALSE(is_late(330, 100));
    EXPECT_TRUE(is_late(331, 100));
    EXPECT_FALSE(is_late(30, 0));
}

} // namespace
} // namespace chicorylink::scheduling
