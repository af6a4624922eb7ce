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

void record_first_token(std::vector<target_state>& pool, std::size_t index,
                        base::milliseconds latency, std::int64_t now)
{
    on_sent(pool[index], tokens{1000}, tokens{1000}, at(now));
    on_first_token(pool[index], tokens{1000}, latency);
    eject_if_slow(pool, index, at(now));
}

TEST(ejection, ejects_after_consecutive_failures_only)
{
    std::vector<target_state> pool(4);
    for (std::uint32_t count = 0; count + 1 < failures_to_eject; ++count) {
        update_health(pool, 0, attempt_outcome::failed, at(0));
    }
    update_health(pool, 0, attempt_outcome::succeeded, at(1));
    update_health(pool, 0, attempt_outcome::failed, at(2));
    EXPECT_TRUE(takes_work(pool[0]));
    for (std::uint32_t count = 0; count < failures_to_eject; ++count) {
        update_health(pool, 0, attempt_outcome::timed_out, at(3));
    }
    EXPECT_FALSE(takes_work(pool[0]));
}

TEST(ejection, ignores_cancelled_and_declined_attempts)
{
    std::vector<target_state> pool(4);
    for (int count = 0; count < 20; ++count) {
        update_health(pool, 0, attempt_outcome::cancelled, at(count));
        update_health(pool, 0, attempt_outcome::declined, at(count));
    }
    EXPECT_TRUE(takes_work(pool[0]));
}

TEST(ejection, a_target_far_slower_than_the_median_is_ejected)
{
    std::vector<target_state> pool(4);
    for (std::int64_t round = 0; round < 6; ++round) {
        for (std::size_t index = 0; index < pool.size(); ++index) {
            record_first_token(pool, index, base::milliseconds{index == 2 ? 1000 : 100}, round);
        }
    }
    EXPECT_EQ(pool[2].ejection.current, health::open);
    EXPECT_EQ(count_ejected(pool), 1U);
}

TEST(ejection, allows_one_probe_at_a_time_after_an_ejection)
{
    std::vector<target_state> pool(4);
    for (std::uint32_t count = 0; count < failures_to_eject; ++count) {
        update_health(pool, 0, attempt_outcome::failed, at(0));
    }
    end_ejections(pool, at(first_ejection.count() - 1));
    EXPECT_FALSE(takes_work(pool[0]));
    end_ejections(pool, at(first_ejection.count()));
    EXPECT_TRUE(takes_work(pool[0]));
    on_sent(pool[0], tokens{1}, tokens{1}, at(first_ejection.count()));
    EXPECT_FALSE(takes_work(pool[0])) << "a second probe";
    update_health(pool, 0, attempt_outcome::failed, at(first_ejection.count() + 1));
    end_ejections(pool, at(first_ejection.count() * 2));
    EXPECT_FALSE(takes_work(pool[0])) << "the second ejection is longer";
    end_ejections(pool, at(first_ejection.count() * 3 + 1));
    update_health(pool, 0, attempt_outcome::succeeded, at(first_ejection.count() * 3 + 2));
    EXPECT_EQ(pool[0].ejection.current, health::closed);
    EXPECT_TRUE(pool[0].warming_since) << "its share rises slowly";
}

TEST(ejection, ejects_at_most_half_of_a_pool)
{
    const rc::detail::TestParams params{.seed = 31, .maxSuccess = 300};
    RecordProperty("seed", 31);
    const auto property = [] {
        std::vector<target_state> pool(*rc::gen::inRange<std::size_t>(1, 9));
        for (std::int64_t step = 0; step < 120; ++step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, pool.size());
            const auto outcome = *rc::gen::weightedElement<attempt_outcome>(
                {{3, attempt_outcome::failed}, {1, attempt_outcome::succeeded}});
            update_health(pool, index, outcome, at(step * 100));
            end_ejections(pool, at(step * 100));
            RC_ASSERT(count_ejected(pool) * 2 <= pool.size());
        }
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << "seed 31";
}

} // namespace
} // namespace chicorylink::routing
