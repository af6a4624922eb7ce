#include "chicorylink/front/load_field.hpp"

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

// Targets of earlier versions state three figures.
TEST(load_field, the_time_is_optional)
{
    const auto load = parse_load_field("12,3,64");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 12U);
    EXPECT_EQ(load->waiting, 3U);
    EXPECT_FALSE(load->time_percent);
    EXPECT_EQ(parse_load_field("12, 3, 64, 250")->time_percent, 250);
    EXPECT_EQ(parse_load_field("12,3,64,62.5,7")->time_percent, 62.5);
}

// Guards against a target's nonsense that takes its load with it, or that counts as a speed.
TEST(load_field, a_time_that_is_no_number_is_ignored)
{
    for (const auto* text : {"12,3,64,", "12,3,64,-100", "12,3,64,fast", "12,3,64,1e9", "12,3,64,0",
                             "12,3,64,nan", "12,3,,", "12,3,"}) {
        const auto load = parse_load_field(text);
        ASSERT_TRUE(load) << text;
        EXPECT_EQ(load->waiting, 3U) << text;
        EXPECT_FALSE(load->time_percent) << text;
    }
    for (const auto* text : {"", "12", ",", "a,b,64,100", "-1,3,64,100"}) {
        EXPECT_FALSE(parse_load_field(text)) << text;
    }
}

} // namespace
} // namespace chicorylink::front
