// Random schedules of faults over a fleet under several times a team's rate; the checker then
// tests every interval.
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

/// Drives one fleet with faults chosen by a seed.
class schedule {
public:
    explicit schedule(const fleet_options& options) : m_all(options)
    {
        // A small fleet leaves little unspent elsewhere, behind which an overrun could hide.
        const auto regions = 1 + pick(3);
        for (std::size_t index = 0; index < regions; ++index) {
            m_regions.push_back(base::id_of<base::region_id>(std::string(1, "abc"[index])));
        }
        const auto vms = regions + pick(5);
        for (std::size_t count = 0; count < vms; ++count) {
            const double error = static_cast<double>(pick(3)) - 1.0;
            m_all.add_vm(m_regions[count % regions], 1.0 + error * clock_drift_per_mille / 1000.0);
        }
        change_rules();
    }

    double run(int steps)
    {
        m_all.run_for(25s);
        for (int step = 0; step < steps; ++step) {
            cause_fault();
            load();
        }
        m_all.run_for(5s);
        return testing::worst_excess(m_all.admissions(team_one), m_phases);
    }

    [[nodiscard]] std::size_t admitted() { return m_all.admissions(team_one).size(); }

private:
    std::uint64_t pick(std::uint64_t below) { return m_all.random()() % below; }
    std::size_t any_vm() { return pick(m_all.size()); }

    void change_rules()
    {
        rules::rulebook_builder builder{base::config_version{++m_version}};
        rules::team who;
        who.id = team_one;
        who.name = "one";
        for (std::size_t index = 0; index < m_regions.size(); ++index) {
            builder.add(rules::region{m_regions[index], std::string(1, "abc"[index]), {}});
            if (index == m_version % m_regions.size() || pick(2) == 0) {
                who.regions.push_back(m_regions[index]);
            }
        }
        who.rate = base::tokens_per_second{static_cast<std::int64_t>(500 + pick(5'000))};
        who.burst = base::tokens{who.rate.value() * static_cast<std::int64_t>(2 + pick(20))};
        if (pick(8) != 0 || m_version == 1) {
            builder.add(who);
        }
        constexpr auto spread = 4s;
        const phase next{std::chrono::duration<double>(m_all.now() + spread).count(),
                         static_cast<double>(who.rate.value()),
                         static_cast<double>(who.burst.value())};
        const auto last = m_phases.empty() ? phase{} : m_phases.back();
        // Until the last VM has the new rules, the greater of old and new stands.
        m_phases.push_back({std::chrono::duration<double>(m_all.now()).count(),
                            std::max(last.rate, next.rate), std::max(last.burst, next.burst)});
        m_phases.push_back(next);
        m_all.publish(builder.build().value(), spread);
        m_rules_settled = m_all.now() + spread + 100ms;
    }

    void cause_fault()
    {
        const auto vm = any_vm();
        switch (pick(11)) {
        case 0:
            m_all.crash(vm);
            break;
        case 1:
            m_all.crash(vm);
            m_all.restart(vm);
            break;
        case 2:
            m_all.pause(vm);
            break;
        case 3:
        case 4:
            heal();
            break;
        case 5:
            m_all.set_listed(vm, false);
            break;
        case 6:
            m_all.part(vm, any_vm(), true);
            break;
        case 7:
            m_all.cut_from_platform(vm, pick(2) == 0);
            break;
        case 8:
            if (m_all.now() > m_rules_settled) {
                change_rules();
            }
            break;
        case 9:
            replace(vm);
            break;
        default:
            m_all.set_leaving(vm);
            break;
        }
    }

    /// A VM at another address takes the place of one that may still run.
    void replace(std::size_t vm)
    {
        constexpr std::size_t most_vms = 14;
        if (m_all.size() < most_vms) {
            m_all.pause(vm);
            m_all.set_listed(vm, false);
            m_all.add_vm(m_regions[pick(m_regions.size())]);
        }
    }

    void heal()
    {
        for (std::size_t vm = 0; vm < m_all.size(); ++vm) {
            m_all.resume(vm);
            m_all.cut_from_platform(vm, false);
            m_all.set_listed(vm, true);
            if (!m_all.usable(vm)) {
                m_all.restart(vm);
            }
            for (std::size_t other = 0; other < vm; ++other) {
                m_all.part(vm, other, false);
            }
        }
    }

    /// Quiet times let buckets fill up to their caps; what follows then tries to spend more.
    void load()
    {
        const auto mode = pick(4);
        if (mode == 0) {
            m_all.run_for(time_up_to(30s));
        }
        const auto count = mode == 1 ? 300 : 40;
        const auto gap = mode == 1 ? 1ms : 60ms;
        for (int index = 0; index < count; ++index) {
            const auto upper = static_cast<std::int64_t>(100 + pick(2'000));
            const auto used = pick(3) == 0 ? 0 : pick(static_cast<std::uint64_t>(upper) + 1);
            m_all.submit(any_vm(),
                         {team_one, upper, static_cast<std::int64_t>(used), time_up_to(8s), {}});
            m_all.run_for(time_up_to(gap));
        }
    }

    testing::instant time_up_to(testing::instant longest)
    {
        return testing::instant{
            static_cast<std::int64_t>(pick(static_cast<std::uint64_t>(longest.count())))};
    }

    fleet m_all;
    std::vector<base::region_id> m_regions;
    std::vector<phase> m_phases;
    std::uint64_t m_version = 0;
    testing::instant m_rules_settled{};
};

fleet_options hostile(std::uint64_t seed)
{
    fleet_options options;
    options.seed = seed;
    options.dropped = 20;
    options.doubled = 30;
    options.delayed = 30;
    return options;
}

TEST(schedule, no_team_passes_its_rate_and_burst)
{
    constexpr std::uint64_t first_seed = 20'261'204;
    rc::detail::TestParams parameters;
    parameters.seed = first_seed;
    const auto* more = std::getenv("BUDGET_SCHEDULES");
    parameters.maxSuccess = more != nullptr ? std::atoi(more) : 40;
    parameters.disableShrinking = true;
    const auto property = [](std::uint64_t seed) {
        schedule one{hostile(seed)};
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
