// Random faults in a fleet whose load is several times a team's rate. Guards against tokens that
// exist twice after crashes, partitions, rule changes and lost, doubled or delayed messages; the
// checker tests every interval.
#include "chicorylink/budget/testing/checker.hpp"
#include "chicorylink/budget/testing/fleet.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"

#include <cstdlib>
#include <iostream>
#include <sstream>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::budget {
namespace {

using namespace std::chrono_literals;
using testing::fleet;
using testing::fleet_options;
using testing::phase;

const base::team_id team_one = base::id_of<base::team_id>("one");

/// Runs one simulated fleet with faults and load chosen by a seed.
class schedule {
public:
    explicit schedule(const fleet_options& options) : m_fleet(options)
    {
        // In a small fleet few tokens stay unspent on other VMs, which could hide an excess.
        const auto regions = 1 + random_below(3);
        for (std::size_t index = 0; index < regions; ++index) {
            m_regions.push_back(base::id_of<base::region_id>(std::string(1, "abc"[index])));
        }
        const auto vms = regions + random_below(5);
        for (std::size_t count = 0; count < vms; ++count) {
            const double error = static_cast<double>(random_below(3)) - 1.0;
            m_fleet.add_vm(m_regions[count % regions],
                           1.0 + error * clock_drift_per_mille / 1000.0);
        }
        change_rules();
    }

    double run(int steps)
    {
        m_fleet.run_for(25s);
        for (int step = 0; step < steps; ++step) {
            inject_fault();
            load();
        }
        m_fleet.run_for(5s);
        return testing::worst_excess(m_fleet.admissions(team_one), m_phases);
    }

    [[nodiscard]] std::size_t admitted() { return m_fleet.admissions(team_one).size(); }

private:
    std::uint64_t random_below(std::uint64_t below) { return m_fleet.random()() % below; }
    std::size_t random_vm() { return random_below(m_fleet.size()); }

    void change_rules()
    {
        rules::rulebook_builder builder{base::config_version{++m_version}};
        rules::team team_rules;
        team_rules.id = team_one;
        team_rules.name = "one";
        for (std::size_t index = 0; index < m_regions.size(); ++index) {
            builder.add(rules::region{m_regions[index], std::string(1, "abc"[index]), {}});
            if (index == m_version % m_regions.size() || random_below(2) == 0) {
                team_rules.regions.push_back(m_regions[index]);
            }
        }
        team_rules.rate =
            base::tokens_per_second{static_cast<std::int64_t>(500 + random_below(5'000))};
        team_rules.burst =
            base::tokens{team_rules.rate.value() * static_cast<std::int64_t>(2 + random_below(20))};
        if (random_below(8) != 0 || m_version == 1) {
            builder.add(team_rules);
        }
        constexpr auto spread = 4s;
        const phase next{std::chrono::duration<double>(m_fleet.now() + spread).count(),
                         static_cast<double>(team_rules.rate.value()),
                         static_cast<double>(team_rules.burst.value())};
        const auto last = m_phases.empty() ? phase{} : m_phases.back();
        // Until the last VM has the new rules, the greater of the old and new limits applies.
        m_phases.push_back({std::chrono::duration<double>(m_fleet.now()).count(),
                            std::max(last.rate, next.rate), std::max(last.burst, next.burst)});
        m_phases.push_back(next);
        m_fleet.publish(builder.build().value(), spread);
        m_rules_settled = m_fleet.now() + spread + 100ms;
    }

    void inject_fault()
    {
        const auto vm = random_vm();
        switch (random_below(11)) {
        case 0:
            m_fleet.crash(vm);
            break;
        case 1:
            m_fleet.crash(vm);
            m_fleet.restart(vm);
            break;
        case 2:
            m_fleet.pause(vm);
            break;
        case 3:
        case 4:
            heal();
            break;
        case 5:
            m_fleet.set_listed(vm, false);
            break;
        case 6:
            m_fleet.set_partitioned(vm, random_vm(), true);
            break;
        case 7:
            m_fleet.set_platform_unreachable(vm, random_below(2) == 0);
            break;
        case 8:
            if (m_fleet.now() > m_rules_settled) {
                change_rules();
            }
            break;
        case 9:
            replace(vm);
            break;
        default:
            m_fleet.set_leaving(vm);
            break;
        }
    }

    /// Replaces a VM that may still run by a new one at another address.
    void replace(std::size_t vm)
    {
        constexpr std::size_t max_vms = 14;
        if (m_fleet.size() < max_vms) {
            m_fleet.pause(vm);
            m_fleet.set_listed(vm, false);
            m_fleet.add_vm(m_regions[random_below(m_regions.size())]);
        }
    }

    void heal()
    {
        for (std::size_t vm = 0; vm < m_fleet.size(); ++vm) {
            m_fleet.resume(vm);
            m_fleet.set_platform_unreachable(vm, false);
            m_fleet.set_listed(vm, true);
            if (!m_fleet.usable(vm)) {
                m_fleet.restart(vm);
            }
            for (std::size_t other = 0; other < vm; ++other) {
                m_fleet.set_partitioned(vm, other, false);
            }
        }
    }

    /// Idle periods fill buckets up to their caps; the load after them tries to exceed the caps.
    void load()
    {
        const auto mode = random_below(4);
        if (mode == 0) {
            m_fleet.run_for(time_up_to(30s));
        }
        const auto count = mode == 1 ? 300 : 40;
        const auto gap = mode == 1 ? 1ms : 60ms;
        for (int index = 0; index < count; ++index) {
            const auto upper = static_cast<std::int64_t>(100 + random_below(2'000));
            const auto used =
                random_below(3) == 0 ? 0 : random_below(static_cast<std::uint64_t>(upper) + 1);
            m_fleet.submit(random_vm(),
                           {team_one, upper, static_cast<std::int64_t>(used), time_up_to(8s), {}});
            m_fleet.run_for(time_up_to(gap));
        }
    }

    testing::instant time_up_to(testing::instant max_duration)
    {
        return testing::instant{static_cast<std::int64_t>(
            random_below(static_cast<std::uint64_t>(max_duration.count())))};
    }

    fleet m_fleet;
    std::vector<base::region_id> m_regions;
    std::vector<phase> m_phases;
    std::uint64_t m_version = 0;
    testing::instant m_rules_settled{};
};

fleet_options faulty_network(std::uint64_t seed)
{
    fleet_options options;
    options.seed = seed;
    options.dropped = 20;
    options.doubled = 30;
    options.delayed = 30;
    return options;
}

TEST(schedule, no_team_exceeds_its_rate_and_burst)
{
    constexpr std::uint64_t first_seed = 20'261'204;
    rc::detail::TestParams parameters;
    parameters.seed = first_seed;
    const auto* schedule_count = std::getenv("BUDGET_SCHEDULES");
    parameters.maxSuccess = schedule_count != nullptr ? std::atoi(schedule_count) : 40;
    parameters.disableShrinking = true;
    const auto property = [](std::uint64_t seed) {
        schedule one{faulty_network(seed)};
        const auto excess = one.run(60);
        if (excess > 0) {
            RC_FAIL(fmt::format("seed {}: {} tokens too many", seed, excess));
        }
        RC_ASSERT(one.admitted() > 0U);
    };
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, parameters);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
    std::cout << "first seed " << first_seed << ": " << text.str() << '\n';
}

} // namespace
} // namespace chicorylink::budget
