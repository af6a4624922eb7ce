#include "chicorylink/fleet/heartbeat_codec.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/fleet/rate_limit.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::target_pool_fixture;

const target_name first{"p0"};

std::optional<double> limit_of(const target_pool& pool, base::time_point now)
{
    return limit_at(pool.find(first)->pushback.limit, now);
}

limit_report report_of(const target_pool& pool, std::optional<double> per_second, milliseconds age)
{
    const auto* target = pool.find(first);
    return {target->id, target->pushback.started_ms, per_second, age};
}

TEST(rate_limit, the_newest_statement_counts)
{
    target_pool_fixture targets(0, 1);
    auto& pool = targets.pool();
    EXPECT_TRUE(pool.on_limit_stated(first, {2.0, at(seconds{5})}, at(seconds{5})).is_new);
    EXPECT_FALSE(pool.on_limit_stated(first, {2.0, at(seconds{6})}, at(seconds{6})).is_new);
    EXPECT_TRUE(pool.on_limit_stated(first, {1.5, at(seconds{7})}, at(seconds{7})).is_new);
    EXPECT_EQ(limit_of(pool, at(seconds{7})), 1.5);
    // The response to a request that was sent before the limit was stated.
    EXPECT_FALSE(
        pool.on_limit_stated(first, {std::nullopt, at(seconds{6})}, at(seconds{8})).is_new);
    EXPECT_EQ(limit_of(pool, at(seconds{8})), 1.5);
    EXPECT_TRUE(pool.on_limit_stated(first, {std::nullopt, at(seconds{8})}, at(seconds{9})).is_new);
    EXPECT_EQ(limit_of(pool, at(seconds{9})), std::nullopt);
}

TEST(rate_limit, belongs_to_one_run_of_a_target)
{
    target_pool_fixture targets(0, 1);
    auto& pool = targets.pool();
    const auto report = report_of(pool, 1.0, {});
    EXPECT_TRUE(pool.on_limit_report(report, false, at(seconds{2})));
    EXPECT_EQ(limit_of(pool, at(seconds{2})), 1.0);
    targets.publish_run("p0", "plain", 77, at(seconds{3}));
    EXPECT_EQ(limit_of(pool, at(seconds{3})), std::nullopt);
    EXPECT_FALSE(pool.on_limit_report(report, false, at(seconds{4})));
}

// During an outage of the store, entries expire and come back with the same run.
TEST(rate_limit, holds_when_the_entry_expires_and_returns)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_limit_stated(first, {1.0, at(seconds{2})}, at(seconds{2}));
    targets.publish("p0", "", true, at(seconds{3}));
    targets.publish("p0", "plain", false, at(seconds{5}));
    EXPECT_EQ(limit_of(targets.pool(), at(seconds{5})), 1.0);
}

// A target that nobody sends to can't say that its limit has ended.
TEST(rate_limit, ends_when_it_is_not_repeated)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_limit_stated(first, {1.0, at(seconds{2})}, at(seconds{2}));
    EXPECT_EQ(limit_of(targets.pool(), at(seconds{61})), 1.0);
    EXPECT_EQ(limit_of(targets.pool(), at(seconds{62})), std::nullopt);
}

TEST(rate_limit, a_target_that_takes_nothing_gets_rare_requests)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_limit_stated(first, {0.0, at(seconds{2})}, at(seconds{2}));
    EXPECT_EQ(limit_of(targets.pool(), at(seconds{3})), min_requests_per_second);
}

TEST(rate_limit, is_reported_when_it_changes_and_then_once_a_second)
{
    target_pool_fixture targets(0, 1);
    auto& pool = targets.pool();
    const auto state = [&](std::optional<double> per_second, milliseconds now) {
        return pool.on_limit_stated(first, {per_second, at(now)}, at(now)).report;
    };
    EXPECT_FALSE(state(std::nullopt, milliseconds{1000}));
    EXPECT_TRUE(state(1.0, milliseconds{2000}));
    EXPECT_FALSE(state(1.0, milliseconds{2500}));
    EXPECT_TRUE(state(1.0, milliseconds{3000}));
    EXPECT_TRUE(state(3.0, milliseconds{3100}));
    const auto ended = state(std::nullopt, milliseconds{3200});
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->per_second, std::nullopt);
    EXPECT_TRUE(state(std::nullopt, milliseconds{4500}));
    EXPECT_FALSE(state(std::nullopt, milliseconds{90'000}));
}

// Guards against a flood of reports: a hundred VMs get the same statement within a second.
TEST(rate_limit, is_not_reported_while_a_digest_has_relayed_the_same)
{
    target_pool_fixture targets(0, 1);
    auto& pool = targets.pool();
    pool.on_limit_report(report_of(pool, 1.0, {}), true, at(seconds{2}));
    const auto state = [&](double per_second, milliseconds now) {
        return pool.on_limit_stated(first, {per_second, at(now)}, at(now)).report;
    };
    EXPECT_FALSE(state(1.0, milliseconds{2500}));
    EXPECT_TRUE(state(2.0, milliseconds{2600}));
    EXPECT_TRUE(state(2.0, milliseconds{3600}));
    pool.on_limit_report(report_of(pool, 2.0, {}), true, at(milliseconds{3700}));
    EXPECT_FALSE(state(2.0, milliseconds{5600}));
    EXPECT_TRUE(state(2.0, milliseconds{5700}));
}

// Two delegates that passed on each other's digests would make a statement look ever newer.
TEST(rate_limit, a_relayed_report_is_known_but_not_passed_on)
{
    target_pool_fixture targets(0, 1);
    auto& pool = targets.pool();
    EXPECT_TRUE(
        pool.on_limit_report(report_of(pool, 1.0, milliseconds{300}), true, at(seconds{2})));
    EXPECT_EQ(limit_of(pool, at(seconds{2})), 1.0);
    EXPECT_TRUE(pool.limit_reports(at(seconds{2})).empty());
    pool.on_limit_report(report_of(pool, 1.0, milliseconds{100}), false, at(seconds{2}));
    ASSERT_EQ(pool.limit_reports(at(seconds{3})).size(), 1U);
    EXPECT_EQ(pool.limit_reports(at(seconds{3})).front().age, milliseconds{1100});
}

TEST(rate_limit, survives_both_kinds_of_messages)
{
    const std::vector<limit_report> sent{
        {base::target_id{42}, 1'700'000'000'123, 1.1, milliseconds{250}},
        {base::target_id{43}, 5, std::nullopt, milliseconds{0}}};
    const auto check = [&](const std::vector<limit_report>& read) {
        ASSERT_EQ(read.size(), sent.size());
        for (std::size_t number = 0; number < sent.size(); ++number) {
            EXPECT_EQ(read[number].target, sent[number].target);
            EXPECT_EQ(read[number].started_ms, sent[number].started_ms);
            EXPECT_EQ(read[number].per_second, sent[number].per_second);
            EXPECT_EQ(read[number].age, sent[number].age);
        }
    };
    placement_message placement;
    placement.limits = sent;
    placement.answers = {{7, true, base::target_id{42}, {}, {}, 0, true}};
    heartbeat message;
    message.from.name = vm_name{"v"};
    message.from.ip = "10.0.0.1";
    message.digests.emplace_back().limits = sent;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(decoded, decode_heartbeat(encode(message)));
            check(decoded.digests.at(0).limits);
            BOOST_LEAF_AUTO(placed, decode_placement(encode(placement)));
            check(placed.limits);
            EXPECT_TRUE(placed.answers.at(0).is_paced);
            return {};
        },
        [] { FAIL(); });
}

TEST(rate_limit, a_limited_target_is_no_capacity_for_other_regions)
{
    target_pool_fixture targets(0, 2);
    targets.pool().on_limit_stated(first, {50.0, at(seconds{2})}, at(seconds{2}));
    const service_name service{"plain"};
    EXPECT_EQ(usable_targets(targets.pool(), service, at(seconds{3})), 1U);
    EXPECT_EQ(outlook_of(targets.pool(), service, true, at(seconds{3})).usable_targets, 1U);
}

TEST(rate_limit, refused_callers_wait_for_the_rate_of_all_targets)
{
    target_pool_fixture targets(0, 2);
    auto& pool = targets.pool();
    const service_name service{"plain"};
    pool.on_limit_stated(first, {2.0, at(seconds{2})}, at(seconds{2}));
    EXPECT_EQ(pool.shortest_wait(service, at(seconds{3})), std::nullopt);
    pool.on_limit_stated(target_name{"p1"}, {4.0, at(seconds{2})}, at(seconds{2}));
    EXPECT_EQ(pool.shortest_wait(service, at(seconds{3})), milliseconds{250});
    EXPECT_EQ(pool.limited_rate(service, at(seconds{3})), 6.0);
}

} // namespace
} // namespace chicorylink::fleet
