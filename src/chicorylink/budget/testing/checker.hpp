#ifndef CHICORYLINK_BUDGET_TESTING_CHECKER_HPP
#define CHICORYLINK_BUDGET_TESTING_CHECKER_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::budget::testing {

/// @brief Tokens that some VM admitted, at the true time of the reservation.
struct admitted {
    double seconds = 0;
    double tokens = 0;
};

/// @brief The limits of a team from a time on. While VMs may use different rules, the greater of
/// both values applies.
struct phase {
    double since = 0;
    double rate = 0;
    double burst = 0;
};

/// @brief By how many tokens the worst interval exceeds rate * t + burst; zero or less when none
/// does.
///
/// Independent of the ledger. Some interval exceeds the bound exactly when a leaky bucket that
/// drains at the rate rises above the burst, so that one pass tests every interval.
[[nodiscard]] inline double excess_within(const std::vector<admitted>& sorted, double rate,
                                          double burst)
{
    double level = 0;
    double last = 0;
    double worst = -burst;
    for (const auto& each : sorted) {
        level = std::max(0.0, level - rate * (each.seconds - last)) + each.tokens;
        last = each.seconds;
        worst = std::max(worst, level - burst);
    }
    return worst;
}

/// @brief Like `excess_within` over several phases: an interval is checked against the greatest
/// burst and the rates of the phases that it touches.
[[nodiscard]] inline double worst_excess(std::vector<admitted> events,
                                         const std::vector<phase>& phases)
{
    std::ranges::stable_sort(events, {}, &admitted::seconds);
    double worst = -1e300;
    for (std::size_t first = 0; first < phases.size(); ++first) {
        for (std::size_t last = first; last < phases.size(); ++last) {
            double level = 0;
            double clock = phases[first].since;
            double burst = 0;
            for (std::size_t index = first; index <= last; ++index) {
                burst = std::max(burst, phases[index].burst);
            }
            auto index = first;
            const auto until = last + 1 < phases.size() ? phases[last + 1].since : 1e300;
            for (const auto& each : events) {
                if (each.seconds < phases[first].since || each.seconds >= until) {
                    continue;
                }
                while (index < last && phases[index + 1].since <= each.seconds) {
                    level -= phases[index].rate * (phases[index + 1].since - clock);
                    level = std::max(0.0, level);
                    clock = phases[++index].since;
                }
                level = std::max(0.0, level - phases[index].rate * (each.seconds - clock));
                level += each.tokens;
                clock = each.seconds;
                worst = std::max(worst, level - burst);
            }
        }
    }
    return worst;
}

} // namespace chicorylink::budget::testing

#endif // CHICORYLINK_BUDGET_TESTING_CHECKER_HPP
