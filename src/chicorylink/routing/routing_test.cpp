#include "chicorylink/routing/codec.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "testing.hpp"

#include <gtest/gtest.h>

namespace chicorylink::routing {
namespace {

using base::milliseconds;
using testing_support::at;
using testing_support::make_book;
using testing_support::make_request;
using testing_support::region;
using testing_support::route;

router make_router(const std::string& name = "north")
{
    return router({.region = region(name)});
}

TEST(router, dispatches_to_a_target_of_its_region_and_queues_when_all_are_full)
{
    auto tested = make_router();
    ASSERT_TRUE(tested.on_rules(make_book(), at(0)).empty());
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const auto made = tested.submit(make_request(id, "wide"), at(1));
        EXPECT_EQ(made.kind, decision_kind::dispatched);
    }
    EXPECT_EQ(tested.submit(make_request(5, "wide"), at(2)).kind, decision_kind::queued);
    const auto freed = tested.on_attempt_finished(
        {.id = request_id{1}, .route = route(), .latency = milliseconds{50}}, at(60));
    ASSERT_EQ(freed.size(), 1U);
    EXPECT_EQ(freed[0].id, request_id{5});
    EXPECT_EQ(freed[0].kind, decision_kind::dispatched);
}

TEST(router, refuses_a_team_that_may_not_run_here)
{
    auto tested = make_router();
    (void)tested.on_rules(make_book(), at(0));
    const auto made = tested.submit(make_request(1, "southern"), at(1));
    EXPECT_EQ(made.kind, decision_kind::refused);
    EXPECT_EQ(made.reason, refusal_reason::region_not_allowed);
}

TEST(router, leaving_targets_get_no_new_work)
{
    auto tested = make_router();
    (void)tested.on_rules(make_book(), at(0));
    tested.on_target_state(base::id_of<base::target_id>("north-0"), target_availability::leaving,
                           at(1));
    for (std::uint64_t id = 1; id <= 2; ++id) {
        const auto made = tested.submit(make_request(id, "wide"), at(2));
        EXPECT_EQ(made.target, base::id_of<base::target_id>("north-1"));
    }
}

TEST(router, retries_a_tried_target_if_no_other_is_left)
{
    auto tested = make_router();
    (void)tested.on_rules(make_book(2), at(0));
    auto req = make_request(1, "northern");
    req.tried = {base::id_of<base::target_id>("north-0")};
    EXPECT_EQ(tested.submit(req, at(1)).target, base::id_of<base::target_id>("north-1"));
    req.id = request_id{2};
    req.tried.push_back(base::id_of<base::target_id>("north-1"));
    EXPECT_EQ(tested.submit(req, at(2)).kind, decision_kind::dispatched);
}

TEST(codec, a_summary_round_trips_and_a_truncated_one_is_rejected)
{
    const region_summary sent{region("north"),
                              base::vm_id{4},
                              9,
                              base::incarnation{7},
                              {{route(), 16, 5, milliseconds{120}}}};
    auto bytes = encode(sent);
    const auto back = decode(bytes).value();
    ASSERT_EQ(back.routes.size(), 1U);
    EXPECT_EQ(back.region, sent.region);
    EXPECT_EQ(back.sequence, 9U);
    EXPECT_EQ(back.routes[0].queue_delay, milliseconds{120});
    bytes.resize(bytes.size() / 2);
    const auto refused = base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_CHECK(decode(bytes));
            return false;
        },
        [] { return true; });
    EXPECT_TRUE(refused);
}

} // namespace
} // namespace chicorylink::routing
