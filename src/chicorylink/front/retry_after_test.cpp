#include "chicorylink/front/retry_after.hpp"

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

using std::chrono::milliseconds;

TEST(retry_after, reads_whole_and_fractional_seconds)
{
    EXPECT_EQ(parse_retry_after("2"), milliseconds{2000});
    EXPECT_EQ(parse_retry_after(" 0.25 "), milliseconds{250});
    EXPECT_EQ(parse_retry_after("0"), milliseconds{0});
    // Rounds up, so that no retry comes too early.
    EXPECT_EQ(parse_retry_after("0.0001"), milliseconds{1});
}

TEST(retry_after, rejects_values_other_than_plain_numbers)
{
    for (const auto* text : {"", " ", "-1", "+1", "1e3", "inf", "nan", ".5", "1.2.3", "1 2", "0x10",
                             "soon", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
        EXPECT_EQ(parse_retry_after(text), std::nullopt) << text;
    }
}

TEST(retry_after, clamps_huge_values)
{
    const auto most = parse_retry_after("1000000000");
    ASSERT_TRUE(most);
    EXPECT_EQ(parse_retry_after("99999999999999999999"), most);
    EXPECT_EQ(parse_retry_after(std::string(400, '9')), most);
}

} // namespace
} // namespace chicorylink::front
