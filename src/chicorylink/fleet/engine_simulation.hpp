#ifndef CHICORYLINK_FLEET_ENGINE_SIMULATION_HPP
#define CHICORYLINK_FLEET_ENGINE_SIMULATION_HPP

#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/placement_coordinator.hpp"
#include "chicorylink/fleet/placement_queries.hpp"
#include "chicorylink/fleet/target_pool_fixture.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

// Engines of different speeds that serve what a coordinator places, for the tests of this module.

namespace chicorylink::fleet::test_support {

/// Times in this simulation are milliseconds since boot.
class engine_simulation {
public:
    explicit engine_simulation(int engines) : m_targets(engines) {}

    /// Factor of an engine's times at a moment.
    std::function<double(const std::string&, double)> factor = [](const auto&, double) {
        return 1.0;
    };
    /// The fourth figure of an engine's load header at a moment; 0 if it states none.
    std::function<double(const std::string&, double)> stated = [](const auto&, double) {
        return 0.0;
    };
    /// Prompt tokens that an engine reads beyond the expected ones.
    std::function<std::uint32_t(const std::string&)> evicted = [](const auto&) { return 0U; };

    struct result {
        std::map<std::string, int> placed;
        int refused = 0;
        /// Sums of expected, true and wrongly expected waits.
        double expected_wait = 0;
        double true_wait = 0;
        double wait_error = 0;
        int waits = 0;
        std::map<std::string, std::uint32_t> most_in_progress;
    };

    /// Places requests of equal prompts at random times.
    result run(double from, double until, double per_second, std::uint32_t tokens,
               double decode_ms = 200)
    {
        result sums;
        std::exponential_distribution<double> gap(per_second / 1000);
        double arrives = from + gap(m_random);
        double next_tick = from;
        while (true) {
            const double event = m_events.empty() ? until : m_events.begin()->first;
            const double now = std::min({arrives, next_tick, event});
            if (now >= until) {
                return sums;
            }
            if (now == next_tick) {
                m_coordinator.tick(pool(), time(now));
                next_tick += tick_ms;
            }
            else if (now == arrives) {
                place(now, tokens, decode_ms, sums);
                arrives += gap(m_random);
            }
            else {
                const auto happens = m_events.begin()->second;
                m_events.erase(m_events.begin());
                happens();
            }
        }
    }

    target_pool& pool() { return m_targets.pool(); }
    target_pool_fixture& targets() { return m_targets; }
    placement_coordinator& coordinator() { return m_coordinator; }

    double factor_of(const std::string& name, double now)
    {
        return scheduling::time_factor(pool().find(target_name{name})->speed, time(now));
    }

    static base::time_point time(double ms)
    {
        return base::time_point{std::chrono::duration_cast<base::time_point::duration>(
            std::chrono::duration<double, std::milli>(ms))};
    }

private:
    static constexpr double tick_ms = 10;

    void place(double now, std::uint32_t tokens, double decode_ms, result& sums)
    {
        const auto number = ++m_number;
        const auto answer =
            m_coordinator.place(pool(), m_vm, base::incarnation{1},
                                make_query(number, number + 1000, 0, tokens), time(now));
        if (!answer.is_reserved) {
            ++sums.refused;
            return;
        }
        const auto& target = *pool().find(*answer.target);
        const auto name = target.entry.name.text();
        ++sums.placed[name];
        auto& most = sums.most_in_progress[name];
        most = std::max(most, target.reserved.in_flight);
        const double slow = factor(name, now);
        const double starts = std::max(now, m_busy_until[name]);
        const double read_ms =
            slow * (answer.unread_tokens + evicted(name)) / default_prompt_tokens_per_ms;
        m_busy_until[name] = starts + read_ms;
        const double expected = static_cast<double>(answer.wait.count());
        sums.expected_wait += expected;
        sums.true_wait += starts - now;
        sums.wait_error += std::abs(expected - (starts - now));
        ++sums.waits;
        const double begins = starts + read_ms + slow * first_token_ms;
        m_events.emplace(begins, [=, this] { begin(name, number, now, begins); });
        m_events.emplace(begins + slow * decode_ms,
                         [=, this] { end(number, now, begins + slow * decode_ms); });
    }

    void begin(const std::string& name, std::uint64_t number, double sent, double now)
    {
        const auto& target = *pool().find(target_name{name});
        if (const double percent = stated(name, now); percent > 0) {
            target_pace statement;
            statement.target = target.id;
            statement.started_ms = target.entry.started_ms;
            statement.percent = static_cast<std::uint16_t>(percent);
            (void)pool().on_time_stated(statement, time(now));
        }
        target_pace start;
        start.number = number;
        start.took = base::milliseconds{static_cast<std::int64_t>(std::lround(now - sent))};
        (void)m_coordinator.apply_start(pool(), m_vm, start, time(now));
        m_coordinator.apply_note(pool(), m_vm, {number, placement_event::begun, std::nullopt, {}},
                                 time(now));
    }

    void end(std::uint64_t number, double sent, double now)
    {
        const base::milliseconds took{static_cast<std::int64_t>(now - sent)};
        m_coordinator.apply_note(pool(), m_vm,
                                 {number, placement_event::ended, target_outcome::answered, took},
                                 time(now));
    }

    target_pool_fixture m_targets;
    placement_coordinator m_coordinator;
    const std::string m_vm = "10.0.0.9";
    std::uint64_t m_number = 0;
    std::map<std::string, double> m_busy_until;
    std::multimap<double, std::function<void()>> m_events;
    std::mt19937 m_random{7};
};

} // namespace chicorylink::fleet::test_support

#endif // CHICORYLINK_FLEET_ENGINE_SIMULATION_HPP
