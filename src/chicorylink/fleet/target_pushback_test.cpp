#include "chicorylink/fleet/heartbeat_codec.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/fleet/placement_coordinator.hpp"
#include "chicorylink/fleet/region_choice.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <limits>
#include <set>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::target_pool_fixture;

const target_name first{"p0"};
const target_name second{"p1"};
constexpr std::uint64_t vm_seed = 1;

placement_request plain_request()
{
    placement_request request;
    request.service = service_name{"plain"};
    return request;
}

std::optional<target_name> chosen(const target_pool& pool, base::time_point now)
{
    const auto choice = choose_target(pool, plain_request(), now);
    return choice ? std::optional{choice->target} : std::nullopt;
}

target_notice notice_of(const target_pool& pool, const target_name& name, bool leaving,
                        milliseconds wait)
{
    const auto* target = pool.find(name);
    return {target->id, target->pushback.started_ms, leaving, wait};
}

TEST(target_pushback, a_leaving_target_gets_no_requests)
{
    target_pool_fixture targets(0, 2);
    EXPECT_TRUE(targets.pool().on_leaving(first, at(seconds{1})));
    // Each later response repeats it; only the first one is new.
    EXPECT_FALSE(targets.pool().on_leaving(first, at(seconds{2})));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{2})), second);
    // A response without it, such as one that was already in flight, changes nothing.
    targets.pool().on_outcome(first, target_outcome::answered, milliseconds{5}, at(seconds{3}));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{60})), second);
}

TEST(target_pushback, a_leaving_target_is_not_used_even_as_the_last_one)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_leaving(first, at(seconds{1}));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{1})), std::nullopt);
}

TEST(target_pushback, a_new_run_under_the_same_name_is_not_leaving)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_leaving(first, at(seconds{1}));
    targets.publish_run("p0", "plain", 77, at(seconds{2}));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{2})), first);
}

// During an outage of the store, entries expire and come back with the same run.
TEST(target_pushback, a_target_is_still_leaving_after_its_entry_expired_and_returned)
{
    target_pool_fixture targets(0, 2);
    targets.pool().on_leaving(first, at(seconds{1}));
    targets.publish("p0", "", true, at(seconds{2}));
    EXPECT_EQ(targets.pool().find(first), nullptr);
    targets.publish("p0", "plain", false, at(seconds{4}));
    ASSERT_NE(targets.pool().find(first), nullptr);
    EXPECT_EQ(chosen(targets.pool(), at(seconds{4})), second);
}

TEST(target_pushback, a_notice_of_another_vm_applies_to_its_run_only)
{
    target_pool_fixture targets(0, 2);
    auto notice = notice_of(targets.pool(), first, true, {});
    notice.started_ms += 1;
    EXPECT_FALSE(targets.pool().on_notice(notice, false, at(seconds{1})));
    EXPECT_TRUE(targets.pool().find(first)->pushback.leaving == false);
    notice.started_ms -= 1;
    EXPECT_TRUE(targets.pool().on_notice(notice, false, at(seconds{1})));
    EXPECT_FALSE(targets.pool().on_notice(notice, false, at(seconds{1})));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{1})), second);
    EXPECT_TRUE(targets.pool().notices(at(seconds{1})).empty());
}

TEST(target_pushback, a_delegate_repeats_a_notice_for_a_limited_time)
{
    target_pool_fixture targets(0, 2);
    const auto notice = notice_of(targets.pool(), first, true, {});
    EXPECT_TRUE(targets.pool().on_notice(notice, true, at(seconds{1})));
    ASSERT_EQ(targets.pool().notices(at(seconds{2})).size(), 1U);
    EXPECT_TRUE(targets.pool().notices(at(seconds{2})).front().leaving);
    EXPECT_TRUE(targets.pool().notices(at(seconds{1} + notice_repeat_time)).empty());
}

TEST(target_pushback, sends_nothing_until_the_requested_wait_is_over)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_wait_requested(first, seconds{4}, vm_seed, at(seconds{1}));
    for (milliseconds now{1000}; now < seconds{5}; now += milliseconds{50}) {
        EXPECT_EQ(chosen(targets.pool(), at(now)), std::nullopt) << now.count();
    }
    EXPECT_EQ(chosen(targets.pool(), at(seconds{7})), first);
}

TEST(target_pushback, a_later_shorter_wait_does_not_end_an_earlier_one)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_wait_requested(first, seconds{4}, vm_seed, at(seconds{1}));
    targets.pool().on_wait_requested(first, milliseconds{100}, vm_seed, at(seconds{1}));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{3})), std::nullopt);
}

TEST(target_pushback, limits_a_very_long_wait)
{
    target_pushback pushback;
    note_wait(pushback, milliseconds::max(), at(seconds{1}));
    EXPECT_EQ(pushback.wait_until, at(seconds{1} + max_requested_wait));
    note_wait(pushback, milliseconds{-5}, at(seconds{1}));
    EXPECT_EQ(pushback.wait_until, at(seconds{1} + max_requested_wait));
}

// Many callers wait for one target that pushed back. When the wait is over, one request shows
// whether the target takes requests again before the others follow.
TEST(target_pushback, sends_one_request_at_a_time_after_a_wait_until_one_is_served)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_wait_requested(first, seconds{1}, vm_seed, at(seconds{1}));
    const auto after = at(seconds{4});
    ASSERT_EQ(chosen(targets.pool(), after), first);
    targets.pool().on_sent(first, nullptr, 0, after);
    EXPECT_EQ(chosen(targets.pool(), after), std::nullopt);
    targets.pool().on_outcome(first, target_outcome::answered, milliseconds{5}, after);
    EXPECT_EQ(chosen(targets.pool(), after), first);
}

TEST(target_pushback, vms_of_a_region_return_at_different_times)
{
    std::set<milliseconds> waits;
    constexpr milliseconds requested{2000};
    for (std::uint64_t vm = 0; vm < 50; ++vm) {
        const auto wait = jittered_wait(requested, base::hash_pair(vm, 7));
        EXPECT_GE(wait, requested);
        EXPECT_LE(wait, requested + requested / 4);
        waits.insert(wait);
    }
    EXPECT_GT(waits.size(), 30U);
}

TEST(target_pushback, reports_the_shortest_wait_when_all_targets_push_back)
{
    target_pool_fixture targets(0, 2);
    const service_name plain{"plain"};
    const auto now = at(seconds{1});
    EXPECT_EQ(targets.pool().shortest_wait(plain, now), std::nullopt);
    targets.pool().on_wait_requested(first, seconds{8}, vm_seed, now);
    EXPECT_EQ(targets.pool().shortest_wait(plain, now), std::nullopt);
    targets.pool().on_wait_requested(second, seconds{3}, vm_seed, now);
    const auto wait = targets.pool().shortest_wait(plain, now);
    ASSERT_TRUE(wait);
    EXPECT_GE(*wait, seconds{3});
    EXPECT_LT(*wait, seconds{4});
    // A leaving target is not waited for.
    targets.pool().on_leaving(second, now);
    EXPECT_GE(targets.pool().shortest_wait(plain, now).value_or(milliseconds{0}), seconds{8});
}

TEST(target_pushback, a_wait_requested_of_another_vm_is_a_hint)
{
    target_pool_fixture targets(0, 2);
    const auto now = at(seconds{1});
    targets.pool().on_notice(notice_of(targets.pool(), first, false, seconds{5}), false, now);
    for (int number = 0; number < 20; ++number) {
        EXPECT_EQ(chosen(targets.pool(), now), second);
        targets.pool().on_sent(second, nullptr, 0, now);
    }
    // With no other target left it gets one request at a time.
    targets.pool().on_leaving(second, now);
    ASSERT_EQ(chosen(targets.pool(), now), first);
    targets.pool().on_sent(first, nullptr, 0, now);
    EXPECT_EQ(chosen(targets.pool(), now), std::nullopt);
}

TEST(target_pushback, the_coordinator_places_no_request_at_a_leaving_target)
{
    target_pool_fixture targets(0, 2);
    placement_coordinator coordinator;
    const auto now = at(seconds{1});
    targets.pool().on_notice(notice_of(targets.pool(), first, true, {}), true, now);
    for (std::uint64_t number = 1; number < 20; ++number) {
        placement_query query;
        query.number = number;
        query.service = service_name{"plain"};
        query.spread = base::hash_pair(number, 3);
        query.longest_wait = seconds{5};
        query.longest_start = seconds{5};
        const auto answer =
            coordinator.place(targets.pool(), "10.0.0.1", base::incarnation{1}, query, now);
        ASSERT_TRUE(answer.target);
        EXPECT_EQ(targets.pool().find(*answer.target)->entry.name, second);
    }
}

// A target answered 500 and the retry went back to it, although a target of another region could
// have run the request.
TEST(target_pushback, a_retry_prefers_another_region_to_the_failed_target)
{
    target_pool_fixture targets(0, 1);
    const auto now = at(seconds{1});
    auto request = plain_request();
    request.tried = {first};
    const auto local_choice = choose_target(targets.pool(), request, now);
    ASSERT_TRUE(local_choice);
    EXPECT_TRUE(local_choice->is_repeat);
    region_request inputs;
    inputs.latency_objective = milliseconds{400};
    inputs.time_left = seconds{4};
    const remote_region west{region_name{"west"}, milliseconds{0}, milliseconds{110}, 1};
    EXPECT_EQ(choose_region(local_choice, {west}, inputs).kind, region_decision_kind::remote);
    EXPECT_EQ(choose_region(local_choice, {}, inputs).kind, region_decision_kind::local);
    const remote_region full{region_name{"west"}, seconds{3}, milliseconds{110}, 1};
    EXPECT_EQ(choose_region(local_choice, {full}, inputs).kind, region_decision_kind::local);
}

TEST(target_pushback, notices_survive_a_round_trip_through_both_codecs)
{
    const target_notice notice{base::target_id{42}, 1'700'000'000'123, true, milliseconds{2500}};
    heartbeat message;
    message.from.name = vm_name{"v"};
    message.from.ip = "10.0.0.1";
    region_digest digest;
    digest.region = region_name{"east"};
    digest.notices = {notice};
    message.digests = {digest};
    placement_message placement;
    placement.notices = {notice};
    const auto same = [&](const std::vector<target_notice>& read) {
        ASSERT_EQ(read.size(), 1U);
        EXPECT_EQ(read[0].target, notice.target);
        EXPECT_EQ(read[0].started_ms, notice.started_ms);
        EXPECT_EQ(read[0].leaving, notice.leaving);
        EXPECT_EQ(read[0].wait, notice.wait);
    };
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(decoded, decode_heartbeat(encode(message)));
            same(decoded.digests.at(0).notices);
            BOOST_LEAF_AUTO(placed, decode_placement(encode(placement)));
            same(placed.notices);
            return {};
        },
        [] { FAIL(); });
}

TEST(stall_timeout, allows_for_the_pauses_of_a_slow_but_healthy_stream)
{
    route request_route;
    EXPECT_EQ(stall_timeout(request_route), seconds{1});
    request_route.pause_objective = milliseconds{1200};
    EXPECT_GE(stall_timeout(request_route), milliseconds{2400});
}

} // namespace
} // namespace chicorylink::fleet
