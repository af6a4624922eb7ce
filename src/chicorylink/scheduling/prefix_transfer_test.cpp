#include "chicorylink/scheduling/prefix_transfer.hpp"

#include <gtest/gtest.h>

namespace chicorylink::scheduling {
namespace {

constexpr prefix_rates slow_link{60, 140};

prefix_request long_prompt()
{
    return {12'000, 0, 5'400, 0, 0};
}

// Guards against reading a session's shared parts again whenever it leaves a busy engine.
TEST(prefix_transfer, a_prefix_that_arrives_sooner_than_it_is_read_is_fetched)
{
    const auto plan = plan_prefix(long_prompt(), slow_link);
    EXPECT_TRUE(plan.is_fetched);
    EXPECT_EQ(plan.unread_tokens, 6'600U);
    EXPECT_NEAR(plan.transfer_ms, 8 + 5'400.0 / 140, 0.1);
    EXPECT_LT(plan.ready_ms, 12'000.0 / 60);
}

// Guards against callers that wait for a link although their engine is idle.
TEST(prefix_transfer, an_idle_engine_reads_while_the_link_is_busy)
{
    auto request = long_prompt();
    request.link_wait_ms = 100;
    EXPECT_FALSE(plan_prefix(request, slow_link).is_fetched);
    // With a queue of its own, the transfer is done before the engine could begin.
    request.queue_wait_ms = 200;
    const auto plan = plan_prefix(request, slow_link);
    EXPECT_TRUE(plan.is_fetched);
    EXPECT_NEAR(plan.ready_ms, 200 + 6'600.0 / 60, 0.1);
}

TEST(prefix_transfer, nothing_is_fetched_that_the_engine_has_or_that_is_short)
{
    auto request = long_prompt();
    request.own_tokens = 5'300;
    EXPECT_FALSE(plan_prefix(request, slow_link).is_fetched);
    request = long_prompt();
    EXPECT_FALSE(plan_prefix(request, {60, 0}).is_fetched);
    request.holder_tokens = 0;
    EXPECT_EQ(plan_prefix(request, slow_link).unread_tokens, 12'000U);
}

} // namespace
} // namespace chicorylink::scheduling
