#include "chicorylink/budget/testing/checker.hpp"
#include "chicorylink/budget/testing/fleet.hpp"
#include "chicorylink/budget/testing/one_team.hpp"

#include <gtest/gtest.h>

namespace chicorylink::budget {
namespace {

using namespace std::chrono_literals;
using testing::fleet;
using testing::fleet_options;

const base::team_id team_one = testing::one_team;

struct nine_vms {
    explicit nine_vms(const fleet_options& options = {}) : nodes(options)
    {
        for (const auto* name : {"a", "b", "c"}) {
            const auto where = base::id_of<base::region_id>(name);
            for (int count = 0; count < 3; ++count) {
                nodes.add_vm(where);
            }
        }
        nodes.publish(testing::one_team_book(1, 10'000, 100'000, "abc"));
    }

    /// Sends requests for 1000 tokens, of which 600 are used, to random VMs.
    /// Returns the refused share.
    double load(testing::instant duration, double per_second)
    {
        int sent = 0;
        int refused = 0;
        const auto end = nodes.now() + duration;
        const auto step = std::chrono::duration_cast<testing::instant>(
            std::chrono::duration<double>(1.0 / per_second));
        for (auto when = nodes.now(); when < end; when += step) {
            nodes.at(when, [&] {
                ++sent;
                nodes.submit(
                    nodes.random()() % nodes.size(),
                    {team_one, 1000, 600, 2s, [&](bool accepted) { refused += accepted ? 0 : 1; }});
            });
        }
        nodes.run_until(end + 3s);
        return static_cast<double>(refused) / sent;
    }

    double excess(double rate = 10'000, double burst = 100'000)
    {
        return testing::worst_excess(nodes.admissions(team_one), {{0, rate, burst}});
    }

    std::size_t owned()
    {
        std::size_t sum = 0;
        for (std::size_t vm = 0; vm < nodes.size(); ++vm) {
            sum += nodes.usable(vm) ? nodes.at_vm(vm).owned_slot_count() : 0;
        }
        return sum;
    }

    fleet nodes;
};

TEST(engine, every_slot_has_one_owner_after_a_cold_start)
{
    nine_vms cluster;
    cluster.nodes.run_for(20s);
    EXPECT_EQ(cluster.owned(), 3 * slot_count);
}

TEST(engine, admits_a_team_within_its_rate)
{
    nine_vms cluster;
    cluster.nodes.run_for(40s);
    EXPECT_LT(cluster.load(60s, 15), 0.001);
    EXPECT_LE(cluster.excess(), 0);
    EXPECT_EQ(cluster.owned(), 3 * slot_count);
}

TEST(engine, a_team_at_four_times_its_rate_stays_within_it)
{
    nine_vms cluster;
    cluster.nodes.run_for(40s);
    EXPECT_GT(cluster.load(60s, 66), 0.3);
    EXPECT_LE(cluster.excess(), 0);
}

} // namespace
} // namespace chicorylink::budget
