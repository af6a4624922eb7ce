#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/scenario/config_process.hpp"
#include "chicorylink/scenario/membership_process.hpp"

#include <iostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::scenario {
namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int schedules = 150;
constexpr int max_steps = 60;
/// VMs that reach each other and the service agree within this time.
constexpr base::milliseconds convergence_bound{30'000};

const std::vector<std::string> names{"a1", "a2", "a3", "b1", "b2"};

std::string rules_of(std::uint64_t version)
{
    return "region a # lena: first\nregion b # lena: first\nteam shop regions=a,b rate=" +
           std::to_string(version) + "/s burst=1000 # lena: new\n";
}

/// Runs random steps on a fleet of five VMs and checks the invariants at each tick.
class fleet {
public:
    explicit fleet(std::uint64_t world_seed) : m_sim(world_seed)
    {
        add_config(m_sim);
        for (const auto& name : names) {
            m_sim.add_vm(name, name.substr(0, 1), name.substr(0, 1) + "-1");
            list_vm(m_sim, name);
        }
        publish_next();
        run(base::milliseconds{10'000});
    }

    void step(int kind, std::size_t first, std::size_t second, int amount)
    {
        const auto& one = names[first % names.size()];
        const auto& other = names[second % names.size()];
        switch (kind) {
        case 0:
            publish_next();
            break;
        case 1:
            m_sim.partition(one, other);
            break;
        case 2:
            m_sim.heal(one, other);
            break;
        case 3:
            m_sim.pause(one);
            break;
        case 4:
            m_sim.resume(one);
            break;
        case 5:
            restart(one);
            break;
        case 6:
            m_sim.drop({.to = one});
            break;
        case 7:
            m_sim.duplicate({.from = one});
            m_sim.reorder();
            break;
        case 8:
            m_sim.state<platform_lists>().unreachable_from = {one};
            break;
        case 9:
            show_older();
            break;
        case 10:
            unlist_vm(m_sim, one);
            break;
        case 11:
            list_vm(m_sim, one);
            break;
        case 12:
            m_sim.state<platform_lists>().unreachable_from.clear();
            break;
        default:
            break;
        }
        run(base::milliseconds{100 * amount});
    }

    /// Ends all faults and runs until the VMs must agree.
    void end_faults()
    {
        m_sim.heal_all();
        m_sim.state<platform_lists>().unreachable_from.clear();
        m_sim.state<config_service>().served = {};
        for (const auto& name : names) {
            m_sim.resume(name);
            list_vm(m_sim, name);
        }
        run(convergence_bound);
    }

    void check_agreement()
    {
        for (const auto& name : names) {
            RC_ASSERT(config_of(m_sim, name).version() == m_newest);
            RC_ASSERT(config_of(m_sim, name).ready());
            const auto snapshot = view_of(m_sim, name);
            RC_ASSERT(snapshot.members.size() == names.size());
            for (const auto& each : snapshot.members) {
                RC_ASSERT(each.state == membership::member_state::live);
            }
        }
    }

private:
    void publish_next()
    {
        m_newest = base::config_version{m_newest.value() + 1};
        publish(m_sim, m_newest, rules_of(m_newest.value()));
        m_sim.state<config_service>().served = {};
    }

    void show_older() { m_sim.state<config_service>().served = base::config_version{1}; }

    void restart(const std::string& name)
    {
        if (reaches_platform(m_sim, m_sim.find(name))) {
            m_sim.restart(name);
        }
    }

    void run(base::milliseconds duration)
    {
        constexpr base::milliseconds tick{100};
        for (auto passed = base::milliseconds{0}; passed < duration; passed += tick) {
            m_sim.run(tick);
            check_invariants();
        }
    }

    /// No VM sees a process as gone that may still act. (A decreasing version throws.)
    void check_invariants()
    {
        for (const auto& name : names) {
            const auto& acting = m_sim.find(name);
            if (!acting.running || m_sim.now() > view_of(m_sim, name).member_until) {
                continue;
            }
            for (const auto& other : names) {
                const auto snapshot = view_of(m_sim, other);
                const auto* member = membership::find(snapshot, acting.id);
                const bool seen_as_gone = member != nullptr &&
                                          member->state == membership::member_state::gone &&
                                          member->process == acting.process;
                RC_ASSERT(!seen_as_gone);
            }
        }
    }

    world m_sim;
    base::config_version m_newest;
};

TEST(fleet_properties, versions_increase_and_connected_vms_agree)
{
    std::cout << "seed " << seed << ", " << schedules << " schedules\n";
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = schedules;
    parameters.maxSize = max_steps;
    const auto property = [] {
        const auto world_seed = *rc::gen::arbitrary<std::uint64_t>();
        // Ranges shrink with the size of a case; resize keeps all kinds of steps possible.
        const auto step = rc::gen::resize(
            rc::kNominalSize, rc::gen::tuple(rc::gen::inRange(0, 14), rc::gen::inRange(0, 5),
                                             rc::gen::inRange(0, 5), rc::gen::inRange(1, 150)));
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(step);
        fleet vms(world_seed);
        for (const auto& [kind, first, second, amount] : steps) {
            vms.step(kind, static_cast<std::size_t>(first), static_cast<std::size_t>(second),
                     amount);
        }
        vms.end_faults();
        vms.check_agreement();
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, parameters);
    const bool passed = result.is<rc::detail::SuccessResult>();
    rc::detail::printResultMessage(result, std::cout);
    EXPECT_TRUE(passed);
}

} // namespace
} // namespace chicorylink::scenario
