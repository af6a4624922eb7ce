#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/heartbeat_codec.hpp"
#include "chicorylink/fleet/limited_regions.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::target_pool_fixture;

const service_name plain{"plain"};

void state_limit(target_pool& pool, const std::string& target, std::optional<double> per_second,
                 milliseconds now)
{
    pool.on_limit_stated(target_name{target}, {per_second, at(now)}, at(now));
}

/// A digest of a region in which the targets of `plain` take this rate.
region_digest digest_with(double per_second, milliseconds round_trip)
{
    region_digest digest;
    digest.region = region_name{"west"};
    digest.round_trip = round_trip;
    digest.limited_services.push_back({base::hash_name(plain.text()), per_second});
    return digest;
}

TEST(limited_regions, a_service_is_limited_when_all_of_its_targets_are)
{
    target_pool_fixture targets(0, 2);
    auto& pool = targets.pool();
    state_limit(pool, "p0", 2.0, seconds{2});
    EXPECT_FALSE(limited_service(pool, plain, at(seconds{3})));
    state_limit(pool, "p1", 3.5, seconds{3});
    const auto rate = limited_service(pool, plain, at(seconds{3}));
    ASSERT_TRUE(rate);
    EXPECT_EQ(rate->service, base::hash_name(plain.text()));
    EXPECT_EQ(rate->per_second, 5.5);
    state_limit(pool, "p0", std::nullopt, seconds{4});
    EXPECT_FALSE(limited_service(pool, plain, at(seconds{4})));
}

TEST(limited_regions, a_target_that_is_to_be_spared_adds_no_rate)
{
    target_pool_fixture targets(0, 2);
    auto& pool = targets.pool();
    state_limit(pool, "p0", 2.0, seconds{2});
    state_limit(pool, "p1", 3.0, seconds{2});
    pool.on_wait_requested(target_name{"p1"}, seconds{5}, 0, at(seconds{2}));
    ASSERT_TRUE(limited_service(pool, plain, at(seconds{3})));
    EXPECT_EQ(limited_service(pool, plain, at(seconds{3}))->per_second, 2.0);
}

// Guards against a region that other regions take for one without any capacity: its digest has to
// tell the rate that its targets take, and an old one tells nothing.
TEST(limited_regions, are_known_from_recent_digests)
{
    heartbeat sent;
    sent.from.name = vm_name{"v"};
    sent.from.ip = "10.0.0.1";
    sent.digests = {digest_with(5.5, milliseconds{110})};
    region_digests known;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(received, decode_heartbeat(encode(sent)));
            known.note(received.digests.at(0), at(seconds{1}));
            return {};
        },
        [] { FAIL(); });
    const auto regions = limited_regions(known, plain, at(seconds{2}));
    ASSERT_EQ(regions.size(), 1U);
    EXPECT_EQ(regions.front().destination.region, region_name{"west"});
    EXPECT_EQ(regions.front().destination.round_trip, milliseconds{110});
    EXPECT_EQ(regions.front().per_second, 5.5);
    EXPECT_TRUE(limited_regions(known, service_name{"other"}, at(seconds{2})).empty());
    EXPECT_TRUE(limited_regions(known, plain, at(seconds{4})).empty());
    EXPECT_TRUE(remote_regions(known, plain, {}, at(seconds{2})).empty());
}

// A rate that no target states can't be spaced: the time between two requests would overflow.
TEST(limited_regions, a_rate_below_the_lowest_one_is_ignored)
{
    for (const double per_second : {0.0, -1.0, 1e-300}) {
        region_digests known;
        known.note(digest_with(per_second, milliseconds{110}), at(seconds{1}));
        EXPECT_TRUE(limited_regions(known, plain, at(seconds{1})).empty()) << per_second;
    }
}

// The VMs of a region divide the rate: each sends its part, evenly spaced.
TEST(limited_regions, requests_to_a_region_are_spaced)
{
    const std::pair west{region_name{"west"}, plain};
    region_pacer pacer;
    int sent = 0;
    for (milliseconds now{0}; now < seconds{10}; now += milliseconds{10}) {
        if (pacer.allows(west, 2.5, at(now))) {
            pacer.note_sent(west, 2.5, at(now));
            ++sent;
        }
    }
    EXPECT_EQ(sent, 25);
    EXPECT_TRUE(pacer.allows({region_name{"north"}, plain}, 2.5, at(seconds{10})));
}

TEST(limited_regions, a_request_is_expected_to_read_its_whole_prompt_there)
{
    region_request request;
    request.is_engine = true;
    request.prompt_tokens = 12'000;
    request.shared_tokens = 5400;
    remote_region west = region_without_digest(region_name{"west"});
    const auto decision = decide_for_region(west, request);
    EXPECT_EQ(decision.kind, region_decision_kind::remote);
    EXPECT_EQ(decision.region, region_name{"west"});
    EXPECT_EQ(decision.tokens, 12'000U);
    EXPECT_GT(decision.start, west.round_trip);
}

} // namespace
} // namespace chicorylink::fleet
