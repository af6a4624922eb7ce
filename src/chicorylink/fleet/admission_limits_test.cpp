#include "chicorylink/fleet/fleet_quota.hpp"
#include "chicorylink/fleet/retry_budget.hpp"

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
    team test_team;
    test_team.name = team_name{"plain"};
    test_team.limit = {per_second, burst, true, 200};
    return test_team;
}

region_digest digest_of(const std::string& region, std::uint64_t reporter, const team& test_team,
                        std::uint64_t admitted)
{
    region_digest digest;
    digest.region = region_name{region};
    digest.reporter = base::incarnation{reporter};
    digest.usage.push_back({base::id_of<base::team_id>(test_team.name.text()), admitted});
    return digest;
}

TEST(fleet_quota, admits_the_rate_in_the_long_run_and_the_burst_at_once)
{
    const auto test_team = team_with(1000, 2000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({test_team}, at(seconds{0}));
    double admitted = 0;
    for (milliseconds now{0}; now < seconds{10}; now += milliseconds{10}) {
        if (quota.has_room(test_team, at(now))) {
            quota.charge(test_team, 100, at(now));
            admitted += 100;
        }
    }
    EXPECT_NEAR(admitted, 2000 + 10 * 1000, 200);
}

TEST(fleet_quota, counts_what_others_admit_once_over_both_report_paths)
{
    const auto test_team = team_with(0.001, 10'000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({test_team}, at(seconds{0}));
    const auto id = base::id_of<base::team_id>(test_team.name.text());
    // The first report of a process covers the past and doesn't count.
    quota.on_member_usage("10.0.0.2", base::incarnation{2}, {{id, 50'000}}, at(seconds{1}));
    quota.on_region_usage(digest_of("east", 7, test_team, 50'000), at(seconds{1}));
    EXPECT_TRUE(quota.has_room(test_team, at(seconds{1})));
    // 6,000 more, reported by the member itself and by the region's delegate.
    quota.on_member_usage("10.0.0.2", base::incarnation{2}, {{id, 56'000}}, at(seconds{2}));
    quota.on_region_usage(digest_of("east", 7, test_team, 56'000), at(seconds{2}));
    EXPECT_TRUE(quota.has_room(test_team, at(seconds{2})));
    quota.on_region_usage(digest_of("east", 7, test_team, 60'500), at(seconds{3}));
    EXPECT_FALSE(quota.has_room(test_team, at(seconds{3})));
}

TEST(fleet_quota, does_not_count_own_admissions_in_the_region_total_twice)
{
    const auto test_team = team_with(0.001, 10'000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({test_team}, at(seconds{0}));
    quota.on_region_usage(digest_of("east", 7, test_team, 0), at(seconds{1}));
    quota.charge(test_team, 6000, at(seconds{1}));
    quota.on_region_usage(digest_of("east", 7, test_team, 6000), at(seconds{2}));
    EXPECT_TRUE(quota.has_room(test_team, at(seconds{2})));
}

TEST(fleet_quota, does_not_add_up_reports_of_two_delegates_of_a_region)
{
    const auto test_team = team_with(0.001, 10'000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({test_team}, at(seconds{0}));
    for (std::uint64_t reported = 0; reported <= 6000; reported += 1000) {
        const auto now = at(milliseconds{1000 + reported / 10});
        quota.on_region_usage(digest_of("west", 7, test_team, reported), now);
        quota.on_region_usage(digest_of("west", 8, test_team, reported + 300), now);
    }
    EXPECT_TRUE(quota.has_room(test_team, at(seconds{2})));
}

TEST(fleet_quota, a_part_of_the_fleet_uses_its_share_of_the_rate)
{
    const auto test_team = team_with(1000, 1000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({test_team}, at(seconds{0}));
    quota.set_fleet(9, 3, at(seconds{0}));
    double admitted = 0;
    for (milliseconds now{0}; now < seconds{30}; now += milliseconds{10}) {
        if (quota.has_room(test_team, at(now))) {
            quota.charge(test_team, 10, at(now));
            admitted += 10;
        }
    }
    EXPECT_LT(admitted, 1000 + 30 * 1000 / 3 + 100);
}

TEST(fleet_quota, a_lower_limit_takes_effect_at_once)
{
    const auto test_team = team_with(1000, 100'000);
    fleet_quota quota(region_name{"east"}, at(seconds{0}));
    quota.set_teams({test_team}, at(seconds{0}));
    quota.set_teams({team_with(10, 100)}, at(seconds{1}));
    quota.charge(test_team, 150, at(seconds{1}));
    EXPECT_FALSE(quota.has_room(test_team, at(seconds{1})));
    EXPECT_GE(quota.time_until_room(test_team, at(seconds{1})), milliseconds{4000});
}

TEST(fleet_quota, charges_a_fixed_cost_to_requests_without_tokens)
{
    EXPECT_EQ(units_of({1, 1, true, 200}, std::nullopt), 200U);
    EXPECT_EQ(units_of({1, 1, true, 200}, 1500), 1500U);
    EXPECT_EQ(units_of({1, 1, false, 200}, 1500), 1U);
}

TEST(retry_budget, all_processes_together_stay_below_the_bound)
{
    const retry_bound bound{0.2, 58, seconds{10}};
    constexpr std::size_t vms = 9;
    std::size_t retries = 0;
    std::size_t requests = 0;
    for (std::size_t vm = 0; vm < vms; ++vm) {
        retry_budget allowance(bound, fleet_start::first, at(seconds{0}));
        for (int number = 0; number < 200; ++number) {
            const auto now = at(milliseconds{number * 40});
            allowance.note_request(service_name{"s"}, now);
            ++requests;
            // Every request fails and needs two retries.
            retries += allowance.take(service_name{"s"}, {vms, true}, now) ? 1 : 0;
            retries += allowance.take(service_name{"s"}, {vms, true}, now) ? 1 : 0;
        }
    }
    EXPECT_LE(static_cast<double>(retries), 0.2 * static_cast<double>(requests) + 58);
    EXPECT_GT(retries, 0U);
}

TEST(retry_budget, recovers_after_the_window)
{
    retry_budget allowance({0.2, 4, seconds{10}}, fleet_start::first, at(seconds{0}));
    EXPECT_TRUE(allowance.take(service_name{"s"}, {1, true}, at(seconds{1})));
    EXPECT_TRUE(allowance.take(service_name{"s"}, {1, true}, at(seconds{1})));
    EXPECT_FALSE(allowance.take(service_name{"s"}, {1, true}, at(seconds{2})));
    EXPECT_TRUE(allowance.take(service_name{"s"}, {1, true}, at(seconds{12})));
}

} // namespace
} // namespace chicorylink::fleet
