#include "chicorylink/fleet/cold_allowance.hpp"
#include "chicorylink/fleet/fleet_quota.hpp"
#include "chicorylink/fleet/retry_allowance.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at(milliseconds since_boot)
{
    return base::time_point{since_boot};
}

team team_with(double per_second, double burst)
{
    team who;
    who.name = team_name{"plain"};
    who.limit = {per_second, burst, true, 200};
    return who;
}

region_digest digest_of(const std::string& region, std::uint64_t reporter, const team& who,
                        std::uint64_t admitted)
{
    region_digest digest;
    digest.region = region_name{region};
    digest.reporter = base::incarnation{reporter};
    digest.usage.push_back({base::id_of<base::team_id>(who.name.text()), admitted});
    return digest;
}

TEST(fleet_quota, admits_the_rate_in_the_long_run_and_the_burst_at_once)
{
    const auto who = team_with(1000, 2000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({who}, at(seconds{0}));
    double admitted = 0;
    for (milliseconds now{0}; now < seconds{10}; now += milliseconds{10}) {
        if (quota.has_room(who, at(now))) {
            quota.charge(who, 100, at(now));
            admitted += 100;
        }
    }
    EXPECT_NEAR(admitted, 2000 + 10 * 1000, 200);
}

TEST(fleet_quota, what_others_admit_takes_room_once_whichever_way_it_is_told)
{
    const auto who = team_with(0.001, 10'000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({who}, at(seconds{0}));
    const auto id = base::id_of<base::team_id>(who.name.text());
    // The first news of a process lies in the past.
    quota.on_member_usage("10.0.0.2", base::incarnation{2}, {{id, 50'000}}, at(seconds{1}));
    quota.on_region_usage(digest_of("east", 7, who, 50'000), at(seconds{1}));
    EXPECT_TRUE(quota.has_room(who, at(seconds{1})));
    // 6,000 more, told by the member itself and by the region's delegate.
    quota.on_member_usage("10.0.0.2", base::incarnation{2}, {{id, 56'000}}, at(seconds{2}));
    quota.on_region_usage(digest_of("east", 7, who, 56'000), at(seconds{2}));
    EXPECT_TRUE(quota.has_room(who, at(seconds{2})));
    quota.on_region_usage(digest_of("east", 7, who, 60'500), at(seconds{3}));
    EXPECT_FALSE(quota.has_room(who, at(seconds{3})));
}

TEST(fleet_quota, the_own_part_of_the_regions_sum_is_not_taken_twice)
{
    const auto who = team_with(0.001, 10'000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({who}, at(seconds{0}));
    quota.on_region_usage(digest_of("east", 7, who, 0), at(seconds{1}));
    quota.charge(who, 6000, at(seconds{1}));
    quota.on_region_usage(digest_of("east", 7, who, 6000), at(seconds{2}));
    EXPECT_TRUE(quota.has_room(who, at(seconds{2})));
}

TEST(fleet_quota, two_delegates_of_a_region_do_not_add_up)
{
    const auto who = team_with(0.001, 10'000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({who}, at(seconds{0}));
    for (std::uint64_t told = 0; told <= 6000; told += 1000) {
        const auto now = at(milliseconds{1000 + told / 10});
        quota.on_region_usage(digest_of("west", 7, who, told), now);
        quota.on_region_usage(digest_of("west", 8, who, told + 300), now);
    }
    EXPECT_TRUE(quota.has_room(who, at(seconds{2})));
}

TEST(fleet_quota, a_part_of_the_fleet_uses_its_part_of_the_rate)
{
    const auto who = team_with(1000, 1000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({who}, at(seconds{0}));
    quota.set_fleet(9, 3, at(seconds{0}));
    double admitted = 0;
    for (milliseconds now{0}; now < seconds{30}; now += milliseconds{10}) {
        if (quota.has_room(who, at(now))) {
            quota.charge(who, 10, at(now));
            admitted += 10;
        }
    }
    EXPECT_LT(admitted, 1000 + 30 * 1000 / 3 + 100);
}

TEST(fleet_quota, a_lower_limit_counts_at_once)
{
    const auto who = team_with(1000, 100'000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({who}, at(seconds{0}));
    quota.set_teams({team_with(10, 100)}, at(seconds{1}));
    quota.charge(who, 150, at(seconds{1}));
    EXPECT_FALSE(quota.has_room(who, at(seconds{1})));
    EXPECT_GE(quota.room_in(who, at(seconds{1})), milliseconds{4000});
}

TEST(fleet_quota, counts_plain_requests_by_their_fixed_size)
{
    EXPECT_EQ(units_of({1, 1, true, 200}, std::nullopt), 200U);
    EXPECT_EQ(units_of({1, 1, true, 200}, 1500), 1500U);
    EXPECT_EQ(units_of({1, 1, false, 200}, 1500), 1U);
}

TEST(retry_allowance, all_processes_together_stay_below_the_bound)
{
    const retry_bound bound{0.2, 58, seconds{10}};
    constexpr std::size_t vms = 9;
    std::size_t repeats = 0;
    std::size_t requests = 0;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        retry_allowance allowance(bound);
        for (int number = 0; number < 200; ++number) {
            const auto now = at(milliseconds{number * 40});
            allowance.note_request(service_name{"s"}, now);
            ++requests;
            // Every request fails and wants two repeats.
            repeats += allowance.take(service_name{"s"}, vms, now) ? 1 : 0;
            repeats += allowance.take(service_name{"s"}, vms, now) ? 1 : 0;
        }
    }
    EXPECT_LE(static_cast<double>(repeats), 0.2 * static_cast<double>(requests) + 58);
    EXPECT_GT(repeats, 0U);
}

TEST(retry_allowance, recovers_when_the_window_has_passed)
{
    retry_allowance allowance({0.2, 4, seconds{10}});
    EXPECT_TRUE(allowance.take(service_name{"s"}, 1, at(seconds{1})));
    EXPECT_TRUE(allowance.take(service_name{"s"}, 1, at(seconds{1})));
    EXPECT_FALSE(allowance.take(service_name{"s"}, 1, at(seconds{2})));
    EXPECT_TRUE(allowance.take(service_name{"s"}, 1, at(seconds{12})));
}

TEST(cold_allowance, the_senders_together_keep_the_rate_that_a_cold_target_bears)
{
    constexpr double per_second = 2.9;
    std::vector<std::string> ips;
    for (int number = 1; number <= 28; ++number) {
        ips.push_back(fmt::format("10.0.0.{}", number));
    }
    const target_name target{"t"};
    std::vector<base::time_point> sent;
    std::vector<cold_allowance> allowances(ips.size(), cold_allowance{at(seconds{0})});
    for (milliseconds now{3000}; now < seconds{13}; now += milliseconds{10}) {
        for (std::size_t vm = 0; vm < ips.size(); ++vm) {
            if (is_cold_sender(target, ips[vm], ips) &&
                allowances[vm].allows(target, per_second, at(now))) {
                allowances[vm].note_sent(target, at(now));
                sent.push_back(at(now));
            }
        }
    }
    EXPECT_NEAR(static_cast<double>(sent.size()), per_second * 10, 4);
    for (const auto begin : sent) {
        const auto in_second = std::count_if(sent.begin(), sent.end(), [&](base::time_point time) {
            return time >= begin && time < begin + seconds{1};
        });
        EXPECT_LE(in_second, 7);
    }
}

// Grown site, scale-1: processes that had just started each took themselves for a sender.
TEST(cold_allowance, a_process_that_has_just_started_sends_nothing_to_cold_targets)
{
    const cold_allowance allowance(at(seconds{10}));
    EXPECT_FALSE(allowance.allows(target_name{"t"}, 2.9, at(seconds{12})));
    EXPECT_TRUE(allowance.allows(target_name{"t"}, 2.9, at(seconds{13})));
}

} // namespace
} // namespace chicorylink::fleet
