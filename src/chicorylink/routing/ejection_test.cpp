#include "chicorylink/routing/ejection.hpp"
#include "chicorylink/routing/target_state.hpp"
#include "testing.hpp"

#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::routing {
namespace {

using base::tokens;
using testing_support::at;

void answer(std::vector<target_state>& pool, std::size_t index, base::milliseconds latency,
            std::int64_t now)
{
    on_sent(pool[index], tokens{1000}, tokens{1000}, at(now));
    on_first_token(pool[index], tokens{1000}, latency);
    judge_speed(pool, index, at(now));
}

TEST(ejection, failures_in_a_row_eject_and_one_success_between_them_does_not)
{
    std::vector<target_state> pool(4);
    for (std::uint32_t count = 0; count + 1 < failures_to_eject; ++count) {
        judge_outcome(pool, 0, attempt_outcome::failed, at(0));
    }
    judge_outcome(pool, 0, attempt_outcome::succeeded, at(1));
    judge_outcome(pool, 0, attempt_outcome::failed, at(2));
    EXPECT_TRUE(takes_work(pool[0]));
    for (std::uint32_t count = 0; count < failures_to_eject; ++count) {
        judge_outcome(pool, 0, attempt_outcome::timed_out, at(3));
    }
    EXPECT_FALSE(takes_work(pool[0]));
}

TEST(ejection, callers_who_leave_and_targets_that_decline_tell_nothing)
{
    std::vector<target_state> pool(4);
    for (int count = 0; count < 20; ++count) {
        judge_outcome(pool, 0, attempt_outcome::cancelled, at(count));
        judge_outcome(pool, 0, attempt_outcome::declined, at(count));
    }
    EXPECT_TRUE(takes_work(pool[0]));
}

TEST(ejection, a_target_far_slower_than_the_median_is_ejected)
{
    std::vector<target_state> pool(4);
    for (std::int64_t round = 0; round < 6; ++round) {
        for (std::size_t index = 0; index < pool.size(); ++index) {
            answer(pool, index, base::milliseconds{index == 2 ? 1000 : 100}, round);
        }
    }
    EXPECT_EQ(pool[2].ejection.now, health::open);
    EXPECT_EQ(count_ejected(pool), 1U);
}

TEST(ejection, one_probe_at_a_time_decides_after_the_ejection)
{
    std::vector<target_state> pool(4);
    for (std::uint32_t count = 0; count < failures_to_eject; ++count) {
        judge_outcome(pool, 0, attempt_outcome::failed, at(0));
    }
    end_ejections(pool, at(first_ejection.count() - 1));
    EXPECT_FALSE(takes_work(pool[0]));
    end_ejections(pool, at(first_ejection.count()));
    EXPECT_TRUE(takes_work(pool[0]));
    on_sent(pool[0], tokens{1}, tokens{1}, at(first_ejection.count()));
    EXPECT_FALSE(takes_work(pool[0])) << "a second probe";
    judge_outcome(pool, 0, attempt_outcome::failed, at(first_ejection.count() + 1));
    end_ejections(pool, at(first_ejection.count() * 2));
    EXPECT_FALSE(takes_work(pool[0])) << "the second ejection is longer";
    end_ejections(pool, at(first_ejection.count() * 3 + 1));
    judge_outcome(pool, 0, attempt_outcome::succeeded, at(first_ejection.count() * 3 + 2));
    EXPECT_EQ(pool[0].ejection.now, health::closed);
    EXPECT_TRUE(pool[0].warm_since) << "its share rises slowly";
}

TEST(ejection, never_more_than_half_of_a_pool)
{
    const rc::detail::TestParams params{.seed = 31, .maxSuccess = 300};
    RecordProperty("seed", 31);
    const auto property = [] {
        std::vector<target_state> pool(*rc::gen::inRange<std::size_t>(1, 9));
        for (std::int64_t step = 0; step < 120; ++step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, pool.size());
            const auto outcome = *rc::gen::weightedElement<attempt_outcome>(
                {{3, attempt_outcome::failed}, {1, attempt_outcome::succeeded}});
            judge_outcome(pool, index, outcome, at(step * 100));
            end_ejections(pool, at(step * 100));
            RC_ASSERT(count_ejected(pool) * 2 <= pool.size());
        }
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << "seed 31";
}

} // namespace
} // namespace chicorylink::routing
