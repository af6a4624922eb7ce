#include "chicorylink/scheduling/quota_admission.hpp"

#include <gtest/gtest.h>

namespace chicorylink::scheduling {
namespace {

constexpr double burst = 100'000;
constexpr double per_second = 20'000;
constexpr quota_demand short_prompt{2'400, 0};
constexpr quota_demand long_prompt{12'400, 2};

quota_state with(double balance, double share)
{
    return {balance, share, burst, per_second};
}

double full_share()
{
    return share_capacity(per_second, burst);
}

// Guards against a quota that refuses less urgent requests although nothing is short.
TEST(quota_admission, every_request_passes_while_the_reserve_stays_free)
{
    const auto state = with(0.6 * burst, -1e6);
    EXPECT_EQ(choose_quota_path(state, short_prompt), quota_path::balance);
    EXPECT_EQ(choose_quota_path(state, long_prompt), quota_path::balance);
    // More than the bucket ever holds above the reserve.
    EXPECT_EQ(choose_quota_path(with(burst, 0), {2 * burst, 2}), quota_path::balance);
}

// Guards against head-of-line blocking: a long prompt drives the balance below zero, and all short
// ones are refused until it is repaid.
TEST(quota_admission, a_long_prompt_from_the_share_shuts_out_no_short_ones)
{
    auto state = with(full_share() + 1, full_share());
    ASSERT_EQ(choose_quota_path(state, long_prompt), quota_path::share);
    state.balance -= long_prompt.units;
    state.share -= long_prompt.units;
    EXPECT_EQ(choose_quota_path(state, short_prompt), quota_path::balance);
    EXPECT_EQ(choose_quota_path(state, long_prompt), quota_path::none);
}

// Guards against an overdraft without a bound, which the quota's overage would not cover.
TEST(quota_admission, nothing_passes_below_the_overdraft)
{
    const double floor = -quota_overdraft_fraction * burst;
    for (const double share : {-1e9, -1e3, 0.0, full_share(), 1e9}) {
        EXPECT_EQ(choose_quota_path(with(floor, share), short_prompt), quota_path::none);
        EXPECT_EQ(choose_quota_path(with(floor, share), long_prompt), quota_path::none);
    }
}

// Guards against urgent requests that take every unit of the refill, so that the others starve.
TEST(quota_admission, what_the_share_has_saved_is_left_to_less_urgent_requests)
{
    const auto state = with(0.5 * full_share(), 0.6 * full_share());
    EXPECT_EQ(choose_quota_path(state, short_prompt), quota_path::none);
    EXPECT_EQ(choose_quota_path(state, long_prompt), quota_path::share);
}

// Guards against prompts that are called urgent and use up the balance all the same.
TEST(quota_admission, only_urgent_requests_that_are_not_large_are_preferred)
{
    EXPECT_TRUE(is_preferred(short_prompt, burst));
    EXPECT_FALSE(is_preferred(long_prompt, burst));
    EXPECT_FALSE(is_preferred({0.3 * burst, 0}, burst));
    // Requests without a prompt, under a quota that counts requests.
    EXPECT_TRUE(is_preferred({1, 0}, 2));
    EXPECT_FALSE(is_preferred({1, 2}, 2));
}

quota_state after(quota_state state, base::milliseconds wait)
{
    const double seconds = std::chrono::duration<double>(wait).count();
    state.balance += state.per_second * seconds;
    state.share = std::min(full_share(), state.share + share_rate(state.per_second) * seconds);
    return state;
}

// Guards against a Retry-After at which the same request is refused again.
TEST(quota_admission, a_request_that_waits_as_told_is_admitted)
{
    for (double balance = -60'000; balance < 40'000; balance += 1'700) {
        for (double share = -45'000; share <= full_share(); share += 2'300) {
            for (const auto& demand : {short_prompt, long_prompt}) {
                const auto state = with(balance, share);
                const auto wait = time_until_admitted(state, demand);
                const bool is_admitted = choose_quota_path(state, demand) != quota_path::none;
                EXPECT_EQ(wait.count() == 0, is_admitted);
                EXPECT_NE(choose_quota_path(after(state, wait), demand), quota_path::none)
                    << balance << " " << share << " " << demand.units << " " << wait.count();
            }
        }
    }
}

} // namespace
} // namespace chicorylink::scheduling
