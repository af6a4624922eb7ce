#include "chicorylink/routing/admission_queue.hpp"
#include "chicorylink/routing/brown_out.hpp"
#include "testing.hpp"

#include <map>
#include <string>

#include <gtest/gtest.h>

namespace chicorylink::routing {
namespace {

using base::milliseconds;
using testing_support::at;
using testing_support::make_request;

/// Takes up to `count` requests and counts them by team.
std::map<base::team_id, int> take(admission_queue& queue, int count)
{
    std::map<base::team_id, int> taken;
    for (int index = 0; index < count; ++index) {
        if (const auto next = queue.pop(at(index))) {
            ++taken[next->team];
        }
    }
    return taken;
}

void fill(admission_queue& queue, const std::string& team, int count, std::uint32_t weight,
          std::uint64_t first_id)
{
    for (int index = 0; index < count; ++index) {
        ASSERT_EQ(queue.push(make_request(first_id + static_cast<std::uint64_t>(index), team),
                             weight, at(0)),
                  refusal_reason::none);
    }
}

TEST(admission_queue, teams_share_in_proportion_to_weight)
{
    admission_queue queue;
    fill(queue, "heavy", 400, 3, 0);
    fill(queue, "light", 400, 1, 1000);
    // Both teams start with a burst; the weights apply after it.
    (void)take(queue, 200);
    const auto taken = take(queue, 200);
    EXPECT_NEAR(taken.at(base::id_of<base::team_id>("heavy")), 150, 2);
}

TEST(admission_queue, a_long_queue_of_one_team_does_not_delay_another)
{
    admission_queue queue;
    fill(queue, "busy", 1000, 1, 0);
    (void)take(queue, 300);
    fill(queue, "quiet", 5, 1, 5000);
    EXPECT_EQ(take(queue, 5).at(base::id_of<base::team_id>("quiet")), 5);
}

TEST(admission_queue, rejoining_the_queue_gives_a_team_no_extra_share)
{
    admission_queue queue;
    fill(queue, "busy", 1000, 1, 0);
    int quick = 0;
    for (std::uint64_t round = 0; round < 400; ++round) {
        fill(queue, "quick", 1, 1, 5000 + round);
        const auto taken = take(queue, 1);
        quick += taken.contains(base::id_of<base::team_id>("quick")) ? 1 : 0;
    }
    const auto burst = 60'000 / work_tokens(make_request(1, "quick"));
    EXPECT_LE(quick, 200 + burst / 2 + 1);
}

TEST(admission_queue, higher_priorities_go_first_within_a_team)
{
    admission_queue queue;
    for (const auto order :
         {rules::priority::low, rules::priority::high, rules::priority::normal}) {
        auto waiting = make_request(static_cast<std::uint64_t>(order), "a");
        waiting.order = order;
        (void)queue.push(waiting, 1, at(0));
    }
    EXPECT_EQ(queue.pop(at(1))->order, rules::priority::high);
    EXPECT_EQ(queue.pop(at(1))->order, rules::priority::normal);
    EXPECT_EQ(queue.pop(at(1))->order, rules::priority::low);
    EXPECT_FALSE(queue.pop(at(1)));
}

TEST(admission_queue, limits_the_total_and_each_team)
{
    admission_queue queue({.total = 5, .per_team = 3});
    fill(queue, "a", 3, 1, 0);
    EXPECT_EQ(queue.push(make_request(10, "a"), 1, at(0)), refusal_reason::team_queue_full);
    fill(queue, "b", 2, 1, 20);
    EXPECT_EQ(queue.push(make_request(30, "c"), 1, at(0)), refusal_reason::queue_full);
}

TEST(admission_queue, removes_only_requests_that_miss_their_deadline)
{
    admission_queue queue;
    auto early = make_request(1, "a");
    early.deadline = at(100);
    (void)queue.push(early, 1, at(0));
    (void)queue.push(make_request(2, "a"), 1, at(0));
    EXPECT_TRUE(queue.take_expired(milliseconds{0}, at(99)).empty());
    const auto expired = queue.take_expired(milliseconds{50}, at(99));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].id, request_id{1});
    EXPECT_EQ(queue.size(), 1U);
    EXPECT_TRUE(queue.remove(request_id{2}));
    EXPECT_FALSE(queue.remove(request_id{2}));
    EXPECT_TRUE(queue.empty());
}

TEST(brown_out, sheds_low_priority_and_long_responses_first_and_high_priority_never)
{
    auto req = make_request(1, "a");
    req.answer_tokens = long_response + base::tokens{1};
    req.order = rules::priority::low;
    EXPECT_TRUE(sheds(brown_out_level::low_long, req));
    req.order = rules::priority::normal;
    EXPECT_FALSE(sheds(brown_out_level::low, req));
    EXPECT_TRUE(sheds(brown_out_level::normal_long, req));
    req.order = rules::priority::high;
    EXPECT_FALSE(sheds(brown_out_level::normal_long, req));
}

TEST(brown_out, starts_later_with_a_higher_refusal_weight)
{
    rules::policy neutral;
    rules::policy careful;
    careful.refusal_weight = 200;
    const milliseconds left{10'000};
    EXPECT_EQ(level_of(milliseconds{0}, left, neutral), brown_out_level::none);
    EXPECT_EQ(level_of(milliseconds{4900}, left, neutral), brown_out_level::none);
    EXPECT_EQ(level_of(milliseconds{5100}, left, neutral), brown_out_level::low_long);
    EXPECT_EQ(level_of(milliseconds{9000}, left, neutral), brown_out_level::normal_long);
    EXPECT_EQ(level_of(milliseconds{9000}, left, careful), brown_out_level::none);
}

} // namespace
} // namespace chicorylink::routing
