#include "chicorylink/fleet/region_choice.hpp"
#include "chicorylink/fleet/roster.hpp"

#include <deque>
#include <memory>

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

const std::set<region_name> all_regions{region_name{"east"}, region_name{"west"}};

member_identity identity(const std::string& ip, const std::string& region, std::uint64_t run,
                         std::uint16_t capacity = 25, const std::string& data_center = "-a")
{
    return {vm_name{ip},
            ip,
            region_name{region},
            data_center_name{region + data_center},
            base::incarnation{run},
            vm_capacity{capacity}};
}

heartbeat heartbeat_of(const member_identity& from, std::uint64_t sequence, member_state state)
{
    heartbeat message;
    message.from = from;
    message.data_center = hash_of(from.data_center);
    message.sequence = sequence;
    message.state = state;
    return message;
}

/// VMs that exchange heartbeats in virtual time; a test may stop some.
class small_fleet {
public:
    void add(const std::string& ip, const std::string& region, std::vector<std::string> seeds,
             std::uint16_t capacity = 25, const std::string& data_center = "-a")
    {
        m_vms[ip] = {std::make_unique<roster>(identity(ip, region, ++m_runs, capacity, data_center),
                                              std::move(seeds), all_regions),
                     0};
    }
    void stop(const std::string& ip) { m_vms.erase(ip); }

    void run(milliseconds duration)
    {
        const auto end = m_now + duration;
        for (; m_now < end; m_now += milliseconds{25}) {
            for (auto& [ip, node] : m_vms) {
                (void)node.members->tick(m_now);
                for (const auto& due : node.members->take_due(m_now)) {
                    deliver(ip, due);
                }
            }
        }
    }

    [[nodiscard]] const roster& of(const std::string& ip) const { return *m_vms.at(ip).members; }
    [[nodiscard]] std::size_t sent() const { return m_sent; }
    /// Number of digests sent from one data center of a region to another.
    [[nodiscard]] std::size_t digests_crossed() const { return m_digests_crossed; }

    [[nodiscard]] std::size_t ready_seen_by(const std::string& ip) const
    {
        std::size_t count = 0;
        for (const auto& [other, peer] : of(ip).members()) {
            count += roster::takes_requests(peer, m_now) ? 1 : 0;
        }
        return count;
    }

private:
    struct vm {
        std::unique_ptr<roster> members;
        std::uint64_t sequence = 0;
    };

    void deliver(const std::string& from, const due_heartbeat& due)
    {
        ++m_sent;
        const auto to = m_vms.find(due.ip);
        if (to == m_vms.end()) {
            return;
        }
        auto& sender = m_vms.at(from);
        auto message = heartbeat_of(sender.members->self(), ++sender.sequence, member_state::ready);
        if (due.scope != digest_scope::none) {
            region_digest digest;
            digest.region = sender.members->self().region;
            digest.members = sender.members->region_members(member_state::ready, m_now);
            message.digests.push_back(digest);
        }
        auto& receiver = *to->second.members;
        const auto& self = sender.members->self();
        const bool crosses = self.region == receiver.self().region &&
                             self.data_center != receiver.self().data_center;
        m_digests_crossed += crosses && due.scope != digest_scope::none ? 1 : 0;
        (void)receiver.on_heartbeat(message, m_now);
        if (due.scope == digest_scope::all_regions) {
            for (auto& digest : m_known_digests[from].recent(m_now)) {
                message.digests.push_back(digest);
            }
        }
        for (const auto& digest : message.digests) {
            receiver.on_digest(digest, m_now);
            if (digest.region != receiver.self().region) {
                m_known_digests[due.ip].note(digest, m_now);
            }
        }
        if (due.wants_digests) {
            deliver(due.ip, {from, digest_scope::all_regions, false});
        }
    }

    std::map<std::string, vm> m_vms;
    std::map<std::string, region_digests> m_known_digests;
    base::time_point m_now = at(seconds{1});
    std::uint64_t m_runs = 0;
    std::size_t m_sent = 0;
    std::size_t m_digests_crossed = 0;
};

std::string ip_of(int number)
{
    return fmt::format("10.0.0.{}", number);
}

TEST(roster, vms_find_each_other_by_seeds)
{
    small_fleet fleet;
    for (int number = 1; number <= 6; ++number) {
        fleet.add(ip_of(number), number <= 3 ? "east" : "west", {ip_of(1), ip_of(4)});
    }
    fleet.run(seconds{3});
    for (int number = 1; number <= 6; ++number) {
        EXPECT_EQ(fleet.ready_seen_by(ip_of(number)), 5U) << number;
    }
}

TEST(roster, a_vm_whose_seeds_are_all_in_another_region_finds_its_own)
{
    small_fleet fleet;
    for (int number = 1; number <= 6; ++number) {
        fleet.add(ip_of(number), number <= 3 ? "east" : "west", {ip_of(1), ip_of(4)});
    }
    fleet.run(seconds{3});
    fleet.add(ip_of(7), "west", {ip_of(1)});
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.of(ip_of(7)).region_ips(at(seconds{7})).size(), 4U);
}

TEST(roster, a_stopped_vm_is_not_ready_after_the_silence_timeout)
{
    small_fleet fleet;
    for (int number = 1; number <= 3; ++number) {
        fleet.add(ip_of(number), "east", {ip_of(1)});
    }
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.ready_seen_by(ip_of(1)), 2U);
    fleet.stop(ip_of(3));
    fleet.run(roster::silence_timeout + seconds{1});
    EXPECT_EQ(fleet.ready_seen_by(ip_of(1)), 1U);
    EXPECT_EQ(fleet.ready_seen_by(ip_of(2)), 1U);
}

TEST(roster, stopped_delegates_are_replaced)
{
    small_fleet fleet;
    for (int number = 1; number <= 6; ++number) {
        fleet.add(ip_of(number), "east", {ip_of(1), ip_of(2)});
    }
    fleet.run(seconds{2});
    const auto delegates = fleet.of(ip_of(1)).delegates_of(region_name{"east"}, at(seconds{3}));
    ASSERT_EQ(delegates.size(), roster::delegate_count);
    for (const auto& ip : delegates) {
        fleet.stop(ip);
    }
    fleet.run(seconds{6});
    for (int number = 1; number <= 6; ++number) {
        const auto ip = ip_of(number);
        if (std::find(delegates.begin(), delegates.end(), ip) == delegates.end()) {
            EXPECT_EQ(fleet.ready_seen_by(ip), 3U) << ip;
        }
    }
}

TEST(roster, vms_of_the_largest_capacity_are_delegates)
{
    small_fleet fleet;
    for (int number = 1; number <= 6; ++number) {
        fleet.add(ip_of(number), "east", {ip_of(1)}, number >= 5 ? 50 : 5);
    }
    fleet.run(seconds{3});
    for (int number = 1; number <= 6; ++number) {
        EXPECT_EQ(fleet.of(ip_of(number)).is_delegate(at(seconds{4})), number >= 5) << number;
    }
}

small_fleet two_data_centers(int vms)
{
    small_fleet fleet;
    for (int number = 1; number <= vms; ++number) {
        fleet.add(ip_of(number), "east", {ip_of(1), ip_of(2)}, 25, number % 2 == 0 ? "-a" : "-b");
    }
    return fleet;
}

// Two thirds of the bytes between data centers were digests, since both delegates of a region sent
// them to all of its VMs; at low load they cost more than all that callers sent.
TEST(roster, digests_between_data_centers_are_rare)
{
    constexpr int vms = 28;
    auto fleet = two_data_centers(vms);
    fleet.run(seconds{5});
    const auto before = fleet.digests_crossed();
    constexpr seconds observed{10};
    fleet.run(observed);
    // Each VM hears from the delegate of the other data center once a second, the two delegates
    // from each other once per interval.
    const auto intervals = static_cast<std::size_t>(observed / roster::inter_region_interval);
    EXPECT_LE(fleet.digests_crossed() - before, std::size_t{vms} * 10 + 3 * intervals);
    for (int number = 1; number <= vms; ++number) {
        EXPECT_EQ(fleet.ready_seen_by(ip_of(number)), vms - 1U) << number;
    }
}

TEST(roster, each_data_center_has_a_delegate_when_its_vms_are_equal)
{
    auto fleet = two_data_centers(12);
    fleet.run(seconds{3});
    const auto delegates = fleet.of(ip_of(1)).delegates_of(region_name{"east"}, at(seconds{4}));
    ASSERT_EQ(delegates.size(), 2U);
    EXPECT_NE(fleet.of(delegates[0]).self().data_center, fleet.of(delegates[1]).self().data_center);
    for (int number = 1; number <= 12; ++number) {
        EXPECT_EQ(fleet.of(ip_of(number)).delegates_of(region_name{"east"}, at(seconds{4})),
                  delegates);
    }
}

TEST(roster, a_data_center_without_its_delegate_still_hears_of_all_others)
{
    constexpr int vms = 12;
    auto fleet = two_data_centers(vms);
    fleet.run(seconds{3});
    const auto delegates = fleet.of(ip_of(1)).delegates_of(region_name{"east"}, at(seconds{4}));
    fleet.stop(delegates[0]);
    for (milliseconds passed{0}; passed < seconds{6}; passed += milliseconds{100}) {
        fleet.run(milliseconds{100});
        for (int number = 1; number <= vms; ++number) {
            if (ip_of(number) != delegates[0]) {
                ASSERT_GE(fleet.ready_seen_by(ip_of(number)), vms - 2U)
                    << number << " after " << passed.count() << " ms";
            }
        }
    }
}

TEST(roster, traffic_grows_with_the_number_of_vms_and_not_of_pairs)
{
    const auto sent_by = [](int vms) {
        small_fleet fleet;
        for (int number = 1; number <= vms; ++number) {
            fleet.add(ip_of(number), number % 2 == 0 ? "east" : "west", {ip_of(1), ip_of(2)});
        }
        fleet.run(seconds{5});
        const auto before = fleet.sent();
        fleet.run(seconds{10});
        return static_cast<double>(fleet.sent() - before);
    };
    // With six times the VMs, pairwise traffic would grow thirty-sixfold.
    EXPECT_LT(sent_by(72), 9 * sent_by(12));
}

TEST(roster, heartbeats_of_a_replaced_run_are_ignored)
{
    roster members(identity("10.0.0.1", "east", 1), {}, all_regions);
    const auto old_run = identity("10.0.0.2", "east", 2);
    const auto new_run = identity("10.0.0.2", "east", 3);
    EXPECT_EQ(members.on_heartbeat(heartbeat_of(old_run, 9, member_state::ready), at(seconds{1})),
              heartbeat_effect::joined);
    EXPECT_EQ(members.on_heartbeat(heartbeat_of(new_run, 1, member_state::ready), at(seconds{2})),
              heartbeat_effect::restarted);
    EXPECT_EQ(members.on_heartbeat(heartbeat_of(old_run, 10, member_state::ready), at(seconds{2})),
              heartbeat_effect::ignored);
    EXPECT_EQ(members.find("10.0.0.2")->run, base::incarnation{3});
}

TEST(roster, a_leaving_vm_takes_no_requests)
{
    roster members(identity("10.0.0.1", "east", 1), {}, all_regions);
    const auto other = identity("10.0.0.2", "east", 2);
    (void)members.on_heartbeat(heartbeat_of(other, 1, member_state::ready), at(seconds{1}));
    EXPECT_TRUE(roster::takes_requests(*members.find("10.0.0.2"), at(seconds{1})));
    EXPECT_EQ(members.on_heartbeat(heartbeat_of(other, 2, member_state::leaving), at(seconds{1})),
              heartbeat_effect::state_changed);
    EXPECT_FALSE(roster::takes_requests(*members.find("10.0.0.2"), at(seconds{1})));
}

TEST(roster, a_silent_vm_still_counts_as_one_that_may_admit_requests)
{
    roster members(identity("10.0.0.1", "east", 1), {}, all_regions);
    (void)members.on_heartbeat(
        heartbeat_of(identity("10.0.0.2", "east", 2), 1, member_state::ready), at(seconds{1}));
    EXPECT_EQ(members.size(at(seconds{10})).known, 2U);
    EXPECT_EQ(members.size(at(seconds{10})).live, 1U);
    (void)members.tick(at(seconds{30}));
    EXPECT_EQ(members.size(at(seconds{30})).known, 1U);
}

TEST(roster, the_round_trip_excludes_the_time_at_the_receiver)
{
    roster members(identity("10.0.0.1", "east", 1), {}, all_regions);
    auto message = heartbeat_of(identity("10.0.0.9", "west", 2), 1, member_state::ready);
    message.echo_ms = 1000;
    message.echo_held = milliseconds{300};
    (void)members.on_heartbeat(message, at(milliseconds{1410}));
    EXPECT_EQ(members.round_trip_to(region_name{"west"}), milliseconds{110});
}

// A delegate sent digests to all hundred VMs of a large region in the same tick. The datagrams,
// over a megabyte, were lost on its link: its region's VMs seemed silent, and the answers of its
// placement coordinator came too late.
TEST(roster, digests_to_a_large_region_are_spread_over_their_interval)
{
    constexpr int vms = 98;
    const std::string delegate = "10.0.0.1";
    roster members(identity(delegate, "east", 1, 500), {}, all_regions);
    std::uint64_t sequence = 0;
    std::size_t max_due = 0;
    std::size_t total_due = 0;
    constexpr milliseconds tick{25};
    constexpr milliseconds warm_up{2000};
    for (milliseconds now{0}; now < seconds{10}; now += tick) {
        ++sequence;
        for (int number = 2; number <= vms; ++number) {
            const auto from = identity(fmt::format("10.0.0.{}", number), "east",
                                       static_cast<std::uint64_t>(number));
            (void)members.on_heartbeat(heartbeat_of(from, sequence, member_state::ready), at(now));
        }
        const auto due = members.take_due(at(now));
        if (now >= warm_up) {
            max_due = std::max(max_due, due.size());
            total_due += due.size();
        }
    }
    const auto ticks = static_cast<std::size_t>((seconds{10} - warm_up) / tick);
    const auto mean = total_due / ticks;
    EXPECT_GT(mean, 0U);
    EXPECT_LE(max_due, 4 * mean);
}

} // namespace
} // namespace chicorylink::fleet
