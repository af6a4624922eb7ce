#include "chicorylink/fleet/target_pacer.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::target_pool_fixture;

const target_name some_target{"t"};

std::vector<std::string> vm_ips(int count)
{
    std::vector<std::string> ips;
    for (int number = 1; number <= count; ++number) {
        ips.push_back(fmt::format("10.0.0.{}", number));
    }
    return ips;
}

/// The times at which all VMs together send to a target when requests press all the time.
std::vector<base::time_point> send_from_all(const std::vector<std::string>& ips,
                                            const target_name& target, double per_sender)
{
    std::vector<base::time_point> sent;
    std::vector<target_pacer> pacers(ips.size(), target_pacer{at(seconds{0})});
    for (milliseconds now{3000}; now < seconds{13}; now += milliseconds{10}) {
        for (std::size_t vm = 0; vm < ips.size(); ++vm) {
            if (is_designated_sender(target, ips[vm], ips) &&
                pacers[vm].allows(target, per_sender, at(now))) {
                pacers[vm].note_sent(target, per_sender, at(now));
                sent.push_back(at(now));
            }
        }
    }
    return sent;
}

TEST(target_pacer, all_senders_together_stay_within_the_rate_of_a_cold_target)
{
    constexpr double per_second = 2.9;
    target_pool_fixture targets(0);
    targets.publish("e0", "engine,cold");
    const auto rate =
        designated_rate(*targets.pool().find(target_name{"e0"}), per_second, false, at(seconds{2}));
    ASSERT_TRUE(rate);
    const auto sent = send_from_all(vm_ips(28), some_target, *rate);
    EXPECT_NEAR(static_cast<double>(sent.size()), per_second * 10, 4);
    for (const auto begin : sent) {
        const auto in_second = std::count_if(sent.begin(), sent.end(), [&](base::time_point time) {
            return time >= begin && time < begin + seconds{1};
        });
        EXPECT_LE(in_second, 7);
    }
}

// Newly started processes don't know the other VMs yet; each counted itself among the senders of a
// cold target.
TEST(target_pacer, a_newly_started_process_sends_nothing_to_cold_targets)
{
    const target_pacer pacer(at(seconds{10}) + designation_delay);
    EXPECT_FALSE(pacer.allows(some_target, 2.9, at(seconds{12})));
    EXPECT_TRUE(pacer.allows(some_target, 2.9, at(seconds{13})));
}

TEST(target_pacer, coordinator_and_designated_senders_share_a_stated_limit)
{
    target_pool_fixture targets(0, 1);
    targets.pool().on_limit_stated(target_name{"p0"}, {20.0, at(seconds{2})}, at(seconds{2}));
    const auto& target = *targets.pool().find(target_name{"p0"});
    const auto rate = designated_rate(target, 0, false, at(seconds{3}));
    ASSERT_TRUE(rate);
    EXPECT_NEAR(*rate * designated_senders + coordinated_rate(20), 20, 0.01);
    // What the coordinator counted needs no part of the rest.
    EXPECT_EQ(designated_rate(target, 0, true, at(seconds{3})), std::nullopt);
    const auto sent = send_from_all(vm_ips(28), target_name{"p0"}, *rate);
    EXPECT_NEAR(static_cast<double>(sent.size()), *rate * designated_senders * 10, 4);
}

// Demand is uneven: a rate of many requests a second would go unused at an even spacing.
TEST(target_pacer, allows_a_short_burst_at_a_high_rate_only)
{
    target_pacer pacer;
    const auto sent_at_once = [&](const target_name& target, double per_second) {
        int count = 0;
        while (pacer.allows(target, per_second, at(seconds{5}))) {
            pacer.note_sent(target, per_second, at(seconds{5}));
            ++count;
        }
        return count;
    };
    EXPECT_EQ(sent_at_once(target_name{"slow"}, 1), 1);
    EXPECT_EQ(sent_at_once(target_name{"fast"}, 40), 10);
}

} // namespace
} // namespace chicorylink::fleet
