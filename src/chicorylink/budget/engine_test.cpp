#include "chicorylink/budget/testing/checker.hpp"
#include "chicorylink/budget/testing/fleet.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"

#include <gtest/gtest.h>

namespace chicorylink::budget {
namespace {

using namespace std::chrono_literals;
using testing::fleet;
using testing::fleet_options;

const base::region_id region_a = base::id_of<base::region_id>("a");
const base::region_id region_b = base::id_of<base::region_id>("b");
const base::region_id region_c = base::id_of<base::region_id>("c");
const base::team_id team_one = base::id_of<base::team_id>("one");

std::shared_ptr<const rules::rulebook> book(std::uint64_t version, std::int64_t rate,
                                            std::int64_t burst,
                                            std::vector<base::region_id> regions)
{
    rules::rulebook_builder builder{base::config_version{version}};
    builder.add(rules::region{region_a, "a", {}}).add(rules::region{region_b, "b", {}});
    builder.add(rules::region{region_c, "c", {}});
    rules::team who;
    who.id = team_one;
    who.name = "one";
    who.regions = std::move(regions);
    who.rate = base::tokens_per_second{rate};
    who.burst = base::tokens{burst};
    builder.add(who);
    return builder.build().value();
}

struct nine_vms {
    explicit nine_vms(const fleet_options& options = {}) : all(options)
    {
        for (const auto where : {region_a, region_b, region_c}) {
            for (int count = 0; count < 3; ++count) {
                all.add_vm(where);
            }
        }
        all.publish(book(1, 10'000, 100'000, {region_a, region_b, region_c}));
    }

    /// Requests of 1000 tokens, of which 600 are used, at random VMs; returns the share refused.
    double load(testing::instant duration, double per_second)
    {
        int sent = 0;
        int refused = 0;
        const auto end = all.now() + duration;
        const auto step = std::chrono::duration_cast<testing::instant>(
            std::chrono::duration<double>(1.0 / per_second));
        for (auto when = all.now(); when < end; when += step) {
            all.at(when, [&] {
                ++sent;
                all.submit(all.random()() % all.size(),
                           {team_one, 1000, 600, 2s, [&](bool yes) { refused += yes ? 0 : 1; }});
            });
        }
        all.run_until(end + 3s);
        return static_cast<double>(refused) / sent;
    }

    double excess(double rate = 10'000, double burst = 100'000)
    {
        return testing::worst_excess(all.admissions(team_one), {{0, rate, burst}});
    }

    std::size_t owned()
    {
        std::size_t sum = 0;
        for (std::size_t vm = 0; vm < all.size(); ++vm) {
            sum += all.usable(vm) ? all.at_vm(vm).owned_slot_count() : 0;
        }
        return sum;
    }

    fleet all;
};

TEST(engine, every_slot_has_one_owner_after_a_cold_start)
{
    nine_vms world;
    world.all.run_for(20s);
    EXPECT_EQ(world.owned(), 3 * slot_count);
}

TEST(engine, admits_a_team_within_its_rate)
{
    nine_vms world;
    world.all.run_for(40s);
    EXPECT_LT(world.load(60s, 15), 0.001);
    EXPECT_LE(world.excess(), 0);
    EXPECT_EQ(world.owned(), 3 * slot_count);
}

TEST(engine, a_team_at_four_times_its_rate_stays_within_it)
{
    nine_vms world;
    world.all.run_for(40s);
    EXPECT_GT(world.load(60s, 66), 0.3);
    EXPECT_LE(world.excess(), 0);
}

} // namespace
} // namespace chicorylink::budget
