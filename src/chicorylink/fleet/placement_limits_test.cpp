// Placement at targets that state a limit on their rate.

#include "chicorylink/fleet/placement_coordinator.hpp"
#include "chicorylink/fleet/placement_queries.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <algorithm>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::make_query;
using test_support::target_pool_fixture;

const target_name limited{"e0"};
const target_name unlimited{"e1"};
const base::incarnation first_run{1};

/// One VM of a region: what it knows of the targets and how it paces its own choices.
struct vm_state {
    std::string ip;
    target_pool_fixture targets{2};
    target_pacer pacer;
};

/// A region whose VMs send all they can to one target. A VM sends what the coordinator counted, and
/// as much as it may by its own choice.
class region {
public:
    explicit region(int vm_count)
    {
        for (int number = 1; number <= vm_count; ++number) {
            m_ips.push_back(fmt::format("10.0.0.{}", number));
            m_vms.emplace_back().ip = m_ips.back();
        }
    }

    std::vector<vm_state>& vms() { return m_vms; }

    void state_limit(double per_second, base::time_point now)
    {
        for (auto& vm : m_vms) {
            vm.targets.pool().on_limit_stated(limited, {per_second, now}, now);
        }
    }

    /// @param coordinator_vm The VM whose coordinator places now.
    void send_all(vm_state& coordinator_vm, placement_coordinator& coordinator,
                  base::time_point now)
    {
        ++m_number;
        auto query = make_query(m_number, m_number, 0, 600);
        query.avoided = {coordinator_vm.targets.pool().find(unlimited)->id};
        const auto answer = coordinator.place(coordinator_vm.targets.pool(), coordinator_vm.ip,
                                              first_run, query, now);
        if (answer.is_reserved) {
            EXPECT_TRUE(answer.is_paced);
            m_sent.push_back(now);
            coordinator.apply_note(coordinator_vm.targets.pool(), coordinator_vm.ip,
                                   {query.number, placement_event::ended, std::nullopt, {}}, now);
        }
        for (auto& vm : m_vms) {
            const auto rate = designated_rate(*vm.targets.pool().find(limited), 0, false, now);
            if (is_designated_sender(limited, vm.ip, m_ips) &&
                vm.pacer.allows(limited, rate.value(), now)) {
                vm.pacer.note_sent(limited, rate.value(), now);
                m_sent.push_back(now);
            }
        }
    }

    [[nodiscard]] std::size_t most_sent(seconds window) const
    {
        std::ptrdiff_t most = 0;
        for (const auto begin : m_sent) {
            most = std::max(most, std::count_if(m_sent.begin(), m_sent.end(), [&](auto sent) {
                                return sent >= begin && sent < begin + window;
                            }));
        }
        return static_cast<std::size_t>(most);
    }
    [[nodiscard]] std::size_t sent() const { return m_sent.size(); }

private:
    std::vector<std::string> m_ips;
    std::vector<vm_state> m_vms;
    std::vector<base::time_point> m_sent;
    std::uint64_t m_number = 0;
};

constexpr seconds window{4};

std::size_t promised(double per_second)
{
    return static_cast<std::size_t>(1.5 * per_second * static_cast<double>(window.count())) + 5;
}

// Guards against a region that sends a target a multiple of the rate that it stated because each VM
// and each chooser keeps the limit for itself.
TEST(placement_limits, all_choosers_of_a_region_together_keep_the_limit)
{
    for (const double per_second : {0.0, 0.3, 1.0, 1.1, 7.0, 60.0}) {
        for (const int vm_count : {1, 3, 28}) {
            region east(vm_count);
            placement_coordinator coordinator;
            east.state_limit(per_second, at(seconds{3}));
            for (milliseconds now{3000}; now < seconds{23}; now += milliseconds{5}) {
                east.send_all(east.vms().front(), coordinator, at(now));
            }
            EXPECT_LE(east.most_sent(window), promised(per_second)) << per_second;
            EXPECT_GE(static_cast<double>(east.sent()), 0.75 * per_second * 20) << per_second;
        }
    }
}

// A coordinator that has just taken over does not know what the one before has placed.
TEST(placement_limits, a_change_of_the_coordinator_keeps_the_limit)
{
    for (const double per_second : {1.0, 7.0, 60.0}) {
        region east(3);
        std::vector<placement_coordinator> coordinators(6);
        east.state_limit(per_second, at(seconds{3}));
        for (milliseconds now{3000}; now < seconds{21}; now += milliseconds{5}) {
            const auto turn = static_cast<std::size_t>((now.count() - 3000) / 3000);
            east.send_all(east.vms().at(turn % 3), coordinators.at(turn), at(now));
        }
        EXPECT_LE(east.most_sent(window), promised(per_second)) << per_second;
    }
}

TEST(placement_limits, requests_beyond_the_limit_go_to_other_targets)
{
    target_pool_fixture targets(2);
    placement_coordinator coordinator;
    targets.pool().on_limit_stated(limited, {1.0, at(seconds{3})}, at(seconds{3}));
    int at_limited = 0;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        const auto now = at(seconds{3} + milliseconds{10} * static_cast<int>(number));
        const auto answer = coordinator.place(targets.pool(), "10.0.0.1", first_run,
                                              make_query(number, number, 0, 100), now);
        ASSERT_TRUE(answer.is_reserved);
        const bool is_limited = answer.target == targets.pool().find(limited)->id;
        EXPECT_EQ(answer.is_paced, is_limited);
        at_limited += is_limited ? 1 : 0;
        coordinator.apply_note(targets.pool(), "10.0.0.1",
                               {number, placement_event::ended, std::nullopt, {}}, now);
    }
    EXPECT_EQ(at_limited, 1);
}

// A coordinator that has not heard of the limit yet must not make the VMs exceed it: its answer
// says that it did not count the request.
TEST(placement_limits, a_coordinator_without_the_news_does_not_count)
{
    target_pool_fixture targets(1);
    placement_coordinator coordinator;
    const auto answer = coordinator.place(targets.pool(), "10.0.0.1", first_run,
                                          make_query(1, 1, 0, 100), at(seconds{3}));
    EXPECT_TRUE(answer.is_reserved);
    EXPECT_FALSE(answer.is_paced);
}

} // namespace
} // namespace chicorylink::fleet
