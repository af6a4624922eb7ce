#include "chicorylink/fleet/heartbeat_codec.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/fleet/placement_desk.hpp"
#include "chicorylink/fleet/pool_of_targets.hpp"
#include "chicorylink/fleet/region_choice.hpp"

#include <limits>
#include <set>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::pool_of_targets;

const target_name first{"p0"};
const target_name second{"p1"};
constexpr std::uint64_t own_seed = 1;

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
    return {target->id, target->restraint.started_ms, leaving, wait};
}

TEST(target_restraint, a_leaving_target_gets_nothing_more)
{
    pool_of_targets targets(0, 2);
    EXPECT_TRUE(targets.pool().on_leaving(first, at(seconds{1})));
    // Said again with each answer, it is no news.
    EXPECT_FALSE(targets.pool().on_leaving(first, at(seconds{2})));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{2})), second);
    // An answer that no longer says so, such as one that was on its way, changes nothing.
    targets.pool().on_outcome(first, target_outcome::answered, milliseconds{5}, at(seconds{3}));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{60})), second);
}

TEST(target_restraint, a_leaving_target_is_not_the_last_resort_either)
{
    pool_of_targets targets(0, 1);
    targets.pool().on_leaving(first, at(seconds{1}));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{1})), std::nullopt);
}

TEST(target_restraint, a_new_run_under_the_same_name_is_not_leaving)
{
    pool_of_targets targets(0, 1);
    targets.pool().on_leaving(first, at(seconds{1}));
    targets.publish_run("p0", "plain", 77, at(seconds{2}));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{2})), first);
}

// The store is away: entries lapse and come back with the same run.
TEST(target_restraint, an_entry_that_lapses_and_returns_is_still_leaving)
{
    pool_of_targets targets(0, 2);
    targets.pool().on_leaving(first, at(seconds{1}));
    targets.publish("p0", "", true, at(seconds{2}));
    EXPECT_EQ(targets.pool().find(first), nullptr);
    targets.publish("p0", "plain", false, at(seconds{4}));
    ASSERT_NE(targets.pool().find(first), nullptr);
    EXPECT_EQ(chosen(targets.pool(), at(seconds{4})), second);
}

TEST(target_restraint, news_of_another_vm_counts_for_its_run_only)
{
    pool_of_targets targets(0, 2);
    auto told = notice_of(targets.pool(), first, true, {});
    told.started_ms += 1;
    EXPECT_FALSE(targets.pool().on_notice(told, false, at(seconds{1})));
    EXPECT_TRUE(targets.pool().find(first)->restraint.leaving == false);
    told.started_ms -= 1;
    EXPECT_TRUE(targets.pool().on_notice(told, false, at(seconds{1})));
    EXPECT_FALSE(targets.pool().on_notice(told, false, at(seconds{1})));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{1})), second);
    EXPECT_TRUE(targets.pool().notices(at(seconds{1})).empty());
}

TEST(target_restraint, a_delegate_passes_on_what_a_vm_told_it_for_a_while)
{
    pool_of_targets targets(0, 2);
    const auto told = notice_of(targets.pool(), first, true, {});
    EXPECT_TRUE(targets.pool().on_notice(told, true, at(seconds{1})));
    ASSERT_EQ(targets.pool().notices(at(seconds{2})).size(), 1U);
    EXPECT_TRUE(targets.pool().notices(at(seconds{2})).front().leaving);
    EXPECT_TRUE(targets.pool().notices(at(seconds{1} + tell_time)).empty());
}

TEST(target_restraint, nothing_is_sent_until_the_asked_wait_is_over)
{
    pool_of_targets targets(0, 1);
    targets.pool().on_wait_asked(first, seconds{4}, own_seed, at(seconds{1}));
    for (milliseconds now{1000}; now < seconds{5}; now += milliseconds{50}) {
        EXPECT_EQ(chosen(targets.pool(), at(now)), std::nullopt) << now.count();
    }
    EXPECT_EQ(chosen(targets.pool(), at(seconds{7})), first);
}

TEST(target_restraint, a_later_shorter_wait_does_not_end_an_earlier_one)
{
    pool_of_targets targets(0, 1);
    targets.pool().on_wait_asked(first, seconds{4}, own_seed, at(seconds{1}));
    targets.pool().on_wait_asked(first, milliseconds{100}, own_seed, at(seconds{1}));
    EXPECT_EQ(chosen(targets.pool(), at(seconds{3})), std::nullopt);
}

TEST(target_restraint, an_absurd_wait_is_bounded)
{
    target_restraint restraint;
    note_wait(restraint, milliseconds::max(), at(seconds{1}));
    EXPECT_EQ(restraint.wait_until, at(seconds{1} + longest_asked_wait));
    note_wait(restraint, milliseconds{-5}, at(seconds{1}));
    EXPECT_EQ(restraint.wait_until, at(seconds{1} + longest_asked_wait));
}

// Many callers wait for one target that pushed back: when its time is over, one request shows
// whether it takes work again before the others follow.
TEST(target_restraint, one_request_at_a_time_returns_until_one_is_served)
{
    pool_of_targets targets(0, 1);
    targets.pool().on_wait_asked(first, seconds{1}, own_seed, at(seconds{1}));
    const auto after = at(seconds{4});
    ASSERT_EQ(chosen(targets.pool(), after), first);
    targets.pool().on_sent(first, nullptr, 0, after);
    EXPECT_EQ(chosen(targets.pool(), after), std::nullopt);
    targets.pool().on_outcome(first, target_outcome::answered, milliseconds{5}, after);
    EXPECT_EQ(chosen(targets.pool(), after), first);
}

TEST(target_restraint, the_vms_of_a_region_return_at_different_times)
{
    std::set<milliseconds> waits;
    constexpr milliseconds asked{2000};
    for (std::uint64_t vm = 0; vm < 50; ++vm) {
        const auto wait = spread_wait(asked, base::hash_pair(vm, 7));
        EXPECT_GE(wait, asked);
        EXPECT_LE(wait, asked + asked / 4);
        waits.insert(wait);
    }
    EXPECT_GT(waits.size(), 30U);
}

TEST(target_restraint, the_caller_is_told_the_shortest_wait_when_all_push_back)
{
    pool_of_targets targets(0, 2);
    const service_name plain{"plain"};
    const auto now = at(seconds{1});
    EXPECT_EQ(targets.pool().shortest_wait(plain, now), std::nullopt);
    targets.pool().on_wait_asked(first, seconds{8}, own_seed, now);
    EXPECT_EQ(targets.pool().shortest_wait(plain, now), std::nullopt);
    targets.pool().on_wait_asked(second, seconds{3}, own_seed, now);
    const auto wait = targets.pool().shortest_wait(plain, now);
    ASSERT_TRUE(wait);
    EXPECT_GE(*wait, seconds{3});
    EXPECT_LT(*wait, seconds{4});
    // A target that leaves is none to wait for.
    targets.pool().on_leaving(second, now);
    EXPECT_GE(targets.pool().shortest_wait(plain, now).value_or(milliseconds{0}), seconds{8});
}

TEST(target_restraint, a_wait_asked_of_another_vm_is_a_hint)
{
    pool_of_targets targets(0, 2);
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

TEST(target_restraint, a_desk_places_elsewhere_what_a_vm_may_not_send)
{
    pool_of_targets targets(0, 2);
    placement_desk desk;
    const auto now = at(seconds{1});
    targets.pool().on_notice(notice_of(targets.pool(), first, true, {}), true, now);
    for (std::uint64_t number = 1; number < 20; ++number) {
        placement_ask ask;
        ask.number = number;
        ask.service = service_name{"plain"};
        ask.spread = base::hash_pair(number, 3);
        ask.longest_wait = seconds{5};
        ask.longest_start = seconds{5};
        const auto answer = desk.place(targets.pool(), "10.0.0.1", base::incarnation{1}, ask, now);
        ASSERT_TRUE(answer.target);
        EXPECT_EQ(targets.pool().find(*answer.target)->entry.name, second);
    }
}

// Flag days, quiet: a server answered 500 and the repeat went back to it, though another region's
// could run the request.
TEST(target_restraint, a_repeat_prefers_another_region_to_the_target_that_failed)
{
    pool_of_targets targets(0, 1);
    const auto now = at(seconds{1});
    auto request = plain_request();
    request.tried = {first};
    const auto here = choose_target(targets.pool(), request, now);
    ASSERT_TRUE(here);
    EXPECT_TRUE(here->is_repeat);
    region_request needs;
    needs.latency_objective = milliseconds{400};
    needs.time_left = seconds{4};
    const remote_region west{region_name{"west"}, milliseconds{0}, milliseconds{110}, 1};
    EXPECT_EQ(choose_place(here, {west}, needs).kind, place_kind::elsewhere);
    EXPECT_EQ(choose_place(here, {}, needs).kind, place_kind::here);
    const remote_region full{region_name{"west"}, seconds{3}, milliseconds{110}, 1};
    EXPECT_EQ(choose_place(here, {full}, needs).kind, place_kind::here);
}

TEST(target_restraint, notices_pass_through_both_codecs)
{
    const target_notice told{base::target_id{42}, 1'700'000'000'123, true, milliseconds{2500}};
    heartbeat message;
    message.from.name = vm_name{"v"};
    message.from.ip = "10.0.0.1";
    region_digest digest;
    digest.region = region_name{"east"};
    digest.notices = {told};
    message.digests = {digest};
    placement_message placement;
    placement.notices = {told};
    const auto same = [&](const std::vector<target_notice>& read) {
        ASSERT_EQ(read.size(), 1U);
        EXPECT_EQ(read[0].target, told.target);
        EXPECT_EQ(read[0].started_ms, told.started_ms);
        EXPECT_EQ(read[0].leaving, told.leaving);
        EXPECT_EQ(read[0].wait, told.wait);
    };
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(heard, decode_heartbeat(encode(message)));
            same(heard.digests.at(0).notices);
            BOOST_LEAF_AUTO(placed, decode_placement(encode(placement)));
            same(placed.notices);
            return {};
        },
        [] { FAIL(); });
}

TEST(silence_limit, allows_for_the_pauses_of_a_slow_but_sound_stream)
{
    route asked;
    EXPECT_EQ(silence_limit(asked), seconds{1});
    asked.pause_objective = milliseconds{1200};
    EXPECT_GE(silence_limit(asked), milliseconds{2400});
}

} // namespace
} // namespace chicorylink::fleet
