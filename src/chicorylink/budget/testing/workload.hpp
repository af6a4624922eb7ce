#ifndef CHICORYLINK_BUDGET_TESTING_WORKLOAD_HPP
#define CHICORYLINK_BUDGET_TESTING_WORKLOAD_HPP

#include "chicorylink/budget/testing/baseline_buckets.hpp"
#include "chicorylink/budget/testing/checker.hpp"
#include "chicorylink/budget/testing/fleet.hpp"
#include "chicorylink/rules/rulebook_builder.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

namespace chicorylink::budget::testing {

/// @brief Where and when requests arrive.
enum class arrivals {
    /// Evenly over the VMs that callers are sent to, at random times.
    uniform,
    /// Eight of ten requests of each team in one region.
    skewed,
    /// Twenty requests at once at one VM.
    bursty,
};

struct fleet_size {
    std::size_t vms = 9;
    std::size_t regions = 3;
    std::size_t teams = 5;
    /// Of the whole fleet.
    double requests_per_second = 60;
    /// Percentage of teams that are bound to one region.
    std::size_t single_region_percent = 0;
    /// A team's burst in seconds of its rate.
    double burst_seconds = 10;
    /// Whether callers are sent to their team's preferred VMs, or to any VM.
    bool callers_use_preferred_vms = false;
};

/// @brief Refusals by the fleet and each baseline among the requests that the oracle admitted.
struct refusal_counts {
    std::uint64_t sent = 0;
    std::uint64_t oracle_admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t refused_static = 0;
    std::uint64_t refused_holder = 0;
    /// By one shared bucket whose refunds keep every interval within rate * t + burst.
    std::uint64_t refused_shared = 0;
    std::uint64_t shared_admitted = 0;
    std::uint64_t refused_of_shared = 0;

    [[nodiscard]] double share(std::uint64_t count) const
    {
        return static_cast<double>(count) /
               static_cast<double>(std::max<std::uint64_t>(1, oracle_admitted));
    }
};

/// @brief A simulated fleet under a load that is a constant share of every team's rate.
class workload {
public:
    workload(const fleet_size& size, arrivals kind, std::uint64_t seed, double load,
             const settings& budget_settings = {})
        : m_size(size), m_kind(kind), m_load(load), m_random(seed),
          m_fleet(options(seed, budget_settings))
    {
        for (std::size_t index = 0; index < size.regions; ++index) {
            m_regions.push_back(base::id_of<base::region_id>("region-" + std::to_string(index)));
        }
        make_teams();
        for (std::size_t vm = 0; vm < size.vms; ++vm) {
            m_fleet.add_vm(m_regions[vm % size.regions]);
        }
        m_fleet.publish(m_book);
        // Cold start: the settle time, then the time in which buckets fill from empty.
        m_fleet.run_for(std::chrono::seconds(14) + fill_time);
    }

    /// @brief Runs the load for a duration and adds to the counts.
    void run(instant duration)
    {
        const auto end = m_fleet.now() + duration;
        while (m_fleet.now() < end) {
            const auto batch = m_kind == arrivals::bursty ? burst_size : 1;
            const double mean = batch / (m_size.requests_per_second * m_load / assumed_load);
            const auto gap = -std::log(1.0 - uniform()) * mean;
            m_fleet.run_for(instant{static_cast<std::int64_t>(gap * 1e9)});
            const auto& team_rules = pick_team();
            const auto vm = pick_vm(team_rules);
            for (int count = 0; count < batch; ++count) {
                send(team_rules, vm);
            }
        }
    }

    /// @brief The worst excess of any team over its rate and burst, in tokens.
    [[nodiscard]] double worst_excess_of_any()
    {
        double worst = -1e300;
        for (const auto& team_rules : m_book->teams()) {
            auto events = m_fleet.admissions(team_rules.id);
            std::ranges::stable_sort(events, {}, &admitted::seconds);
            worst =
                std::max(worst, excess_within(events, static_cast<double>(team_rules.rate.value()),
                                              static_cast<double>(team_rules.burst.value())));
        }
        return worst;
    }

    [[nodiscard]] fleet& vms() { return m_fleet; }
    [[nodiscard]] const refusal_counts& counts() const { return m_counts; }
    void reset_counts() { m_counts = {}; }
    [[nodiscard]] const fleet_size& size() const { return m_size; }

    /// @brief The share of all slots that running VMs own.
    [[nodiscard]] double owned_share()
    {
        std::size_t owned = 0;
        for (std::size_t vm = 0; vm < m_fleet.size(); ++vm) {
            owned += m_fleet.usable(vm) ? m_fleet.at_vm(vm).owned_slot_count() : 0;
        }
        return static_cast<double>(owned) / static_cast<double>(m_size.regions * slot_count);
    }

private:
    static constexpr instant fill_time = std::chrono::seconds(40);
    static constexpr int burst_size = 20;
    static constexpr double mean_tokens = 450;
    static constexpr double assumed_load = 0.9;

    static fleet_options options(std::uint64_t seed, const settings& budget_settings)
    {
        fleet_options new_options;
        new_options.seed = seed;
        new_options.budget_settings = budget_settings;
        return new_options;
    }

    double uniform()
    {
        return static_cast<double>(m_random() >> 11U) / static_cast<double>(1ULL << 53U);
    }

    /// Team sizes follow a power law of the rank, as those of real tenants do.
    void make_teams()
    {
        rules::rulebook_builder builder{base::config_version{1}};
        for (std::size_t index = 0; index < m_regions.size(); ++index) {
            builder.add(rules::region{m_regions[index], "region-" + std::to_string(index), {}});
        }
        double sum = 0;
        for (std::size_t rank = 0; rank < m_size.teams; ++rank) {
            sum += 1.0 / std::pow(static_cast<double>(rank + 1), size_exponent);
            m_cumulative_weights.push_back(sum);
        }
        for (std::size_t rank = 0; rank < m_size.teams; ++rank) {
            const auto part = 1.0 / std::pow(static_cast<double>(rank + 1), size_exponent) / sum;
            const auto rate = m_size.requests_per_second * part * mean_tokens / assumed_load;
            rules::team team_rules;
            team_rules.name = "team-" + std::to_string(rank);
            team_rules.id = base::id_of<base::team_id>(team_rules.name);
            team_rules.regions = m_regions;
            if (m_random() % 100 < m_size.single_region_percent) {
                team_rules.home = m_regions[m_random() % m_regions.size()];
            }
            team_rules.rate =
                base::tokens_per_second{std::max<std::int64_t>(1, std::llround(rate))};
            team_rules.burst = base::tokens{
                std::max<std::int64_t>(min_burst, std::llround(rate * m_size.burst_seconds))};
            m_by_rank.push_back(team_rules.id);
            builder.add(team_rules);
        }
        m_book = builder.build().value();
    }

    const rules::team& pick_team()
    {
        const auto point = uniform() * m_cumulative_weights.back();
        const auto found = std::ranges::lower_bound(m_cumulative_weights, point);
        const auto rank = std::min<std::size_t>(
            static_cast<std::size_t>(found - m_cumulative_weights.begin()), m_by_rank.size() - 1);
        return *m_book->find(m_by_rank[rank]);
    }

    std::size_t pick_vm(const rules::team& team_rules)
    {
        const auto allowed = rules::allowed_regions(team_rules);
        const auto favored_region = allowed[team_rules.id.value() % allowed.size()];
        const bool to_favored_region = m_kind == arrivals::skewed && m_random() % 10 < 8;
        const auto where =
            to_favored_region ? favored_region : allowed[m_random() % allowed.size()];
        if (m_size.callers_use_preferred_vms) {
            const auto key = std::pair{team_rules.id, where};
            if (!m_preferred_vms.contains(key)) {
                m_preferred_vms[key] =
                    preferred_vms_of(team_rules, where, m_fleet.view_of(0), preferred_vm_count);
            }
            const auto& preferred = m_preferred_vms[key];
            for (const auto preferred_id : preferred) {
                if (m_fleet.usable(m_fleet.index_of(preferred_id))) {
                    return m_fleet.index_of(preferred_id);
                }
            }
        }
        const auto region =
            static_cast<std::size_t>(std::ranges::find(m_regions, where) - m_regions.begin());
        auto vm = region;
        do {
            vm = region + m_regions.size() * (m_random() % (m_size.vms / m_size.regions));
        } while (!m_fleet.usable(vm));
        return vm;
    }

    void send(const rules::team& team_rules, std::size_t vm)
    {
        const auto actual = 50 + static_cast<std::int64_t>(uniform() * 800);
        const auto upper = actual + static_cast<std::int64_t>(uniform() * 1'000);
        const auto duration = instant{static_cast<std::int64_t>((0.2 + uniform() * 4.0) * 1e9)};
        const auto allowed = rules::allowed_regions(team_rules).size();
        const auto in_region = m_size.vms / m_size.regions;
        const std::array<std::uint64_t, 3> bucket_indices = {0, vm, vm % m_size.regions};
        const std::array<std::size_t, 3> divisors = {1, allowed * in_region, allowed};
        std::array<bool, 3> verdicts{};
        const auto seconds = [this] {
            return std::chrono::duration<double>(m_fleet.now()).count();
        };
        for (std::size_t baseline = 0; baseline < 3; ++baseline) {
            const auto divisor = static_cast<double>(divisors[baseline]);
            const auto rate = static_cast<double>(team_rules.rate.value()) / divisor;
            const auto burst = static_cast<double>(team_rules.burst.value()) / divisor;
            verdicts[baseline] =
                m_baselines[baseline].reserve(team_rules.id, bucket_indices[baseline], rate, burst,
                                              static_cast<double>(upper), seconds());
            if (verdicts[baseline]) {
                m_fleet.at(m_fleet.now() + duration,
                           [this, baseline, rate, burst, id = team_rules.id, upper, actual,
                            bucket_index = bucket_indices[baseline], seconds] {
                               m_baselines[baseline].refund(id, bucket_index, rate, burst,
                                                            static_cast<double>(upper - actual),
                                                            seconds());
                           });
            }
        }
        const bool shared = reserve_shared(team_rules, upper, actual, duration);
        ++m_counts.sent;
        m_counts.shared_admitted += shared ? 1 : 0;
        m_counts.refused_shared += verdicts[0] && !shared ? 1 : 0;
        m_counts.oracle_admitted += verdicts[0] ? 1 : 0;
        m_counts.refused_static += verdicts[0] && !verdicts[1] ? 1 : 0;
        m_counts.refused_holder += verdicts[0] && !verdicts[2] ? 1 : 0;
        m_fleet.submit(
            vm, {team_rules.id, upper, actual, duration, [this, verdicts, shared](bool accepted) {
                     m_counts.refused += verdicts[0] && !accepted ? 1 : 0;
                     m_counts.refused_of_shared += shared && !accepted ? 1 : 0;
                 }});
    }

    /// Reserves from one bucket for the whole fleet with the refund rule of the ledger.
    bool reserve_shared(const rules::team& team_rules, std::int64_t upper, std::int64_t actual,
                        instant duration)
    {
        const auto clock = [this] { return base::time_point{m_fleet.now()}; };
        auto found = m_shared.find(team_rules.id);
        if (found == m_shared.end()) {
            found = m_shared.emplace(team_rules.id, bucket{clock()}).first;
            const limits fleet_limits{to_micro(team_rules.burst),
                                      team_rules.rate.value() * micro_per_token};
            found->second.attach(fleet_limits, fleet_limits.cap, {}, {}, clock());
        }
        found->second.mint(clock());
        if (found->second.balance() < to_micro(base::tokens{upper})) {
            return false;
        }
        (void)found->second.take(to_micro(base::tokens{upper}), clock());
        m_fleet.at(m_fleet.now() + duration,
                   [this, id = team_rules.id, taken_at = clock(), clock, unused = upper - actual] {
                       m_shared.at(id).refund(to_micro(base::tokens{unused}), taken_at, clock());
                   });
        return true;
    }

    static constexpr double size_exponent = 0.8;
    static constexpr std::int64_t min_burst = 10'000;
    static constexpr std::size_t preferred_vm_count = 2;

    fleet_size m_size;
    arrivals m_kind;
    double m_load;
    std::mt19937_64 m_random;
    fleet m_fleet;
    std::vector<base::region_id> m_regions;
    std::shared_ptr<const rules::rulebook> m_book;
    std::vector<base::team_id> m_by_rank;
    std::vector<double> m_cumulative_weights;
    std::map<std::pair<base::team_id, base::region_id>, std::vector<base::vm_id>> m_preferred_vms;
    std::array<baseline_buckets, 3> m_baselines;
    std::map<base::team_id, bucket> m_shared;
    refusal_counts m_counts;
};

} // namespace chicorylink::budget::testing

#endif // CHICORYLINK_BUDGET_TESTING_WORKLOAD_HPP
