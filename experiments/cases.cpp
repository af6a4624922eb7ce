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

experiment_case lost_third(const user& profile, base::milliseconds length)
{
    experiment_case result{.name = "lost_third",
                           .amount = {.length = length, .load = {0.75, 0.6, 0.55}},
                           .faults = {}};
    const auto lost = (profile.engines[0] + 1U) / 3U;
    add_each(result.faults, {.after = length * 2 / 5, .type = fault::kind::crash_engine}, 0, lost);
    return result;
}

experiment_case cold_return(const user& profile, base::milliseconds length)
{
    experiment_case result{
        .name = "cold_return", .amount = {.length = length, .load = {0.6, 0.5, 0.5}}, .faults = {}};
    const auto engines = profile.engines[0];
    add_each(result.faults, {.after = length * 3 / 10, .type = fault::kind::crash_engine}, 0,
             engines);
    add_each(result.faults, {.after = length * 5 / 10, .type = fault::kind::recover_engine}, 0,
             engines);
    return result;
}

experiment_case busy_team(base::milliseconds length)
{
    return {
        .name = "busy_team",
        .amount = {.length = length, .load = {0.6, 0.6, 0.6}, .busy_team = 2, .busy_factor = 5.0},
        .faults = {}};
}

experiment_case lagging_reports(const user& profile, base::milliseconds length)
{
    experiment_case result{.name = "lagging_reports",
                           .amount = {.length = length},
                           .report_lag = base::milliseconds{1500},
                           .report_loss = 0.5,
                           .faults = {}};
    add_each(result.faults, {.after = length * 2 / 5, .type = fault::kind::stop_reports}, 0,
             profile.engines[0] / 2);
    return result;
}

experiment_case slow_engine(base::milliseconds length)
{
    experiment_case result{.name = "slow_engine", .amount = {.length = length}, .faults = {}};
    result.faults.push_back({.after = length * 3 / 10,
                             .type = fault::kind::slow_engine,
                             .region = 0,
                             .engine = 1,
                             .factor = 10.0});
    return result;
}

experiment_case partitioned_region(base::milliseconds length)
{
    experiment_case result{.name = "parted_region",
                           .amount = {.length = length, .load = {0.95, 0.6, 0.5}},
                           .faults = {}};
    result.faults.push_back({.after = length * 2 / 5, .type = fault::kind::partition_region});
    result.faults.push_back({.after = length * 7 / 10, .type = fault::kind::heal_region});
    return result;
}

} // namespace

std::vector<experiment_case> make_cases(const user& profile, base::milliseconds length)
{
    return {steady(length),
            regional_peak(length),
            lost_third(profile, length),
            cold_return(profile, length),
            busy_team(length),
            lagging_reports(profile, length),
            slow_engine(length),
            partitioned_region(length)};
}

} // namespace chicorylink::experiment
