#include "chicorylink/membership/target_table.hpp"

#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::membership {
namespace {

constexpr base::time_point start{std::chrono::hours{1}};
constexpr base::milliseconds propagation_bound{2'000};
constexpr base::milliseconds step{100};
constexpr std::size_t vm_count = 8;
constexpr std::size_t target_count = 20;

const auto region = base::id_of<base::region_id>("north");

base::target_id target(std::size_t number)
{
    return base::id_of<base::target_id>("engine-" + std::to_string(number));
}

view make_view(std::size_t self)
{
    view snapshot;
    for (std::size_t i = 0; i < vm_count; ++i) {
        snapshot.members.push_back(
            {.id = base::vm_id{i + 1}, .region = region, .state = member_state::live});
    }
    snapshot.self = base::vm_id{self + 1};
    return snapshot;
}

struct fleet {
    fleet()
    {
        std::vector<base::target_id> targets;
        for (std::size_t i = 0; i < target_count; ++i) {
            targets.push_back(target(i));
        }
        for (std::size_t i = 0; i < vm_count; ++i) {
            tables.emplace_back(base::vm_id{i + 1}, base::incarnation{i + 1});
            tables.back().set_targets(targets);
        }
    }

    /// Polls every 500 ms; messages arrive one step after they are sent.
    void run(base::milliseconds duration)
    {
        for (const auto end = now + duration; now < end; now += step) {
            auto arriving = std::exchange(in_flight, {});
            for (std::size_t i = 0; i < vm_count; ++i) {
                for (const auto& bytes : arriving) {
                    tables[i].receive(decode_reports(bytes).value(), now);
                }
                const bool due =
                    (now - start) % target_table::poll_interval == base::nanoseconds::zero();
                for (const auto id : tables[i].targets_to_poll(make_view(i))) {
                    if (due) {
                        tables[i].on_poll({.target = id, .slots = 8, .leaving = id == leaving},
                                          now);
                    }
                }
                if (const auto reports = tables[i].take_reports(vm_count - 1, now)) {
                    in_flight.push_back(encode(*reports));
                }
            }
        }
    }

    std::vector<target_table> tables;
    std::vector<std::vector<std::uint8_t>> in_flight;
    base::target_id leaving;
    base::time_point now = start;
};

TEST(target_table, each_target_is_polled_by_one_vm)
{
    fleet vms;
    std::size_t polled = 0;
    for (std::size_t i = 0; i < vm_count; ++i) {
        polled += vms.tables[i].targets_to_poll(make_view(i)).size();
    }
    EXPECT_EQ(polled, target_count);
}

TEST(target_table, leaving_reaches_all_vms_within_the_bound)
{
    fleet vms;
    vms.run(base::milliseconds{5'000});
    vms.leaving = target(7);
    vms.run(propagation_bound);
    for (const auto& table : vms.tables) {
        EXPECT_TRUE(table.find(target(7), vms.now)->leaving);
        EXPECT_FALSE(table.find(target(8), vms.now)->leaving);
        EXPECT_LE(table.find(target(8), vms.now)->report_age, propagation_bound);
    }
}

TEST(target_table, list_alone_marks_a_target_as_leaving)
{
    fleet vms;
    auto& table = vms.tables.front();
    table.on_list({.sequence = 2, .targets = {{"engine-3", true}}});
    EXPECT_TRUE(table.find(target(3), start)->leaving);
    table.on_list({.sequence = 1, .targets = {{"engine-3", false}}});
    EXPECT_TRUE(table.find(target(3), start)->leaving);
    table.on_list({.sequence = 3, .targets = {{"engine-3", false}}});
    EXPECT_FALSE(table.find(target(3), start)->leaving);
}

TEST(target_table, older_report_does_not_replace_a_newer_one)
{
    fleet vms;
    auto& table = vms.tables.front();
    const base::time_point now = start + base::milliseconds{10'000};
    const auto message = [](std::uint32_t running, base::milliseconds age) {
        return target_reports{.from = base::vm_id{2},
                              .reports = {{.target = target(1), .running = running, .age = age}}};
    };
    table.receive(message(3, base::milliseconds{100}), now);
    table.receive(message(9, base::milliseconds{4'000}), now);
    EXPECT_EQ(table.find(target(1), now)->report->running, 3U);
    EXPECT_FALSE(table.find(base::target_id{1}, now).has_value());
}

TEST(target_table, reports_of_a_large_region_are_shared_less_often)
{
    EXPECT_EQ(share_interval(2, 5), base::milliseconds{500});
    EXPECT_GT(share_interval(56, 2), base::milliseconds{2'000});
}

} // namespace
} // namespace chicorylink::membership
