#include "cases.hpp"

namespace chicorylink::experiment {
namespace {

/// Adds one fault for each engine of a region from `first` up to, not including, `last`.
void add_each(std::vector<fault>& faults, fault pattern, std::size_t first, std::size_t last)
{
    for (std::size_t engine = first; engine < last; ++engine) {
        pattern.engine = engine;
        faults.push_back(pattern);
    }
}

experiment_case steady(base::milliseconds length)
{
    return {.name = "steady", .amount = {.length = length}, .faults = {}};
}

experiment_case regional_peak(base::milliseconds length)
{
    return {.name = "regional_peak",
            .amount = {.length = length, .load = {1.2, 0.5, 0.4}},
            .faults = {}};
}

experiment_case lost_third(const user& who, base::milliseconds length)
{
    experiment_case made{.name = "lost_third",
                         .amount = {.length = length, .load = {0.75, 0.6, 0.55}},
                         .faults = {}};
    const auto lost = (who.engines[0] + 1U) / 3U;
    add_each(made.faults, {.after = length * 2 / 5, .what = fault::kind::crash_engine}, 0, lost);
    return made;
}

experiment_case cold_return(const user& who, base::milliseconds length)
{
    experiment_case made{
        .name = "cold_return", .amount = {.length = length, .load = {0.6, 0.5, 0.5}}, .faults = {}};
    const auto engines = who.engines[0];
    add_each(made.faults, {.after = length * 3 / 10, .what = fault::kind::crash_engine}, 0,
             engines);
    add_each(made.faults, {.after = length * 5 / 10, .what = fault::kind::recover_engine}, 0,
             engines);
    return made;
}

experiment_case busy_team(base::milliseconds length)
{
    return {
        .name = "busy_team",
        .amount = {.length = length, .load = {0.6, 0.6, 0.6}, .busy_team = 2, .busy_factor = 5.0},
        .faults = {}};
}

experiment_case lagging_reports(const user& who, base::milliseconds length)
{
    experiment_case made{.name = "lagging_reports",
                         .amount = {.length = length},
                         .report_lag = base::milliseconds{1500},
                         .report_loss = 0.5,
                         .faults = {}};
    add_each(made.faults, {.after = length * 2 / 5, .what = fault::kind::stop_reports}, 0,
             who.engines[0] / 2);
    return made;
}

experiment_case slow_engine(base::milliseconds length)
{
    experiment_case made{.name = "slow_engine", .amount = {.length = length}, .faults = {}};
    made.faults.push_back({.after = length * 3 / 10,
                           .what = fault::kind::slow_engine,
                           .region = 0,
                           .engine = 1,
                           .factor = 10.0});
    return made;
}

experiment_case partitioned_region(base::milliseconds length)
{
    experiment_case made{.name = "parted_region",
                         .amount = {.length = length, .load = {0.95, 0.6, 0.5}},
                         .faults = {}};
    made.faults.push_back({.after = length * 2 / 5, .what = fault::kind::partition_region});
    made.faults.push_back({.after = length * 7 / 10, .what = fault::kind::heal_region});
    return made;
}

} // namespace

std::vector<experiment_case> make_cases(const user& who, base::milliseconds length)
{
    return {steady(length),           regional_peak(length),     lost_third(who, length),
            cold_return(who, length), busy_team(length),         lagging_reports(who, length),
            slow_engine(length),      partitioned_region(length)};
}

} // namespace chicorylink::experiment
