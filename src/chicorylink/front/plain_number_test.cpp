#include "chicorylink/front/plain_number.hpp"

#include <string>

#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

TEST(plain_number, reads_whole_and_fractional_numbers)
{
    EXPECT_EQ(parse_plain_number("2"), 2.0);
    EXPECT_EQ(parse_plain_number(" 0.25 "), 0.25);
    EXPECT_EQ(parse_plain_number("0"), 0.0);
    EXPECT_EQ(parse_plain_number("1."), 1.0);
}

TEST(plain_number, rejects_anything_else)
{
    for (const auto* text :
         {"", " ", "-1", "+1", "1e3", "inf", "nan", ".5", "1.2.3", "1 2", "0x10", "1/s", "1,5"}) {
        EXPECT_EQ(parse_plain_number(text), std::nullopt) << text;
    }
}

TEST(plain_number, clamps_huge_numbers)
{
    EXPECT_EQ(parse_plain_number("99999999999"), max_plain_number);
    EXPECT_EQ(parse_plain_number(std::string(400, '9')), max_plain_number);
}

} // namespace
} // namespace chicorylink::front
