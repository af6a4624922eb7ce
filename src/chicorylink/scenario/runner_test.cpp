#include "chicorylink/scenario/runner.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chicorylink::scenario {
namespace {

using ::testing::HasSubstr;

TEST(runner, passes_and_counts_checks)
{
    const auto result = run_text("check(now() == 0, 'starts at 0'); advance(250)\n"
                                 "check_equal(now(), 250, 'clock moved')",
                                 "clock.lua");
    EXPECT_TRUE(result.passed) << result.message;
    EXPECT_EQ(result.checks, 2U);
}

TEST(runner, failed_check_names_file_and_line)
{
    const auto result = run_text("advance(5)\ncheck(false, 'never holds')", "broken.lua");
    EXPECT_FALSE(result.passed);
    EXPECT_THAT(result.message, HasSubstr("broken.lua:2: check failed at 5 ms: never holds"));
}

TEST(runner, failed_comparison_shows_both_values)
{
    const auto result = run_text("check_equal(1, 2, 'numbers')", "broken.lua");
    EXPECT_THAT(result.message,
                HasSubstr("broken.lua:1: check failed at 0 ms: numbers: 1 is not 2"));
}

TEST(runner, script_without_check_fails)
{
    EXPECT_FALSE(run_text("advance(5)", "empty.lua").passed);
}

TEST(runner, error_of_a_verb_ends_the_script)
{
    EXPECT_THAT(run_text("pause('nobody')", "a.lua").message, HasSubstr("there is no VM nobody"));
    EXPECT_THAT(run_text("advance('x')", "a.lua").message,
                HasSubstr("argument 1 must be an integer"));
    EXPECT_FALSE(run_file("/nonexistent.lua").passed);
}

} // namespace
} // namespace chicorylink::scenario
