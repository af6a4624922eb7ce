#include "chicorylink/fleet/stream_position.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

// Guards against events that come twice, because a target starts a stream from its first event.
TEST(stream_position, an_event_that_the_caller_has_does_not_follow)
{
    EXPECT_TRUE(follows("3", "2"));
    EXPECT_TRUE(follows("10", "9"));
    EXPECT_TRUE(follows("100000000000000000000001", "100000000000000000000000"));
    EXPECT_FALSE(follows("2", "2"));
    EXPECT_FALSE(follows("002", "2"));
    EXPECT_FALSE(follows("1", "2"));
    EXPECT_FALSE(follows("0", "00"));
    EXPECT_FALSE(follows("9", "10"));
}

TEST(stream_position, ids_that_are_no_numbers_only_have_to_differ)
{
    EXPECT_TRUE(follows("b", "a"));
    EXPECT_TRUE(follows("a", "b"));
    EXPECT_FALSE(follows("a", "a"));
}

} // namespace
} // namespace chicorylink::fleet
