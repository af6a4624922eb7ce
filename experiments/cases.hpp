#ifndef CHICORYLINK_EXPERIMENTS_CASES_HPP
#define CHICORYLINK_EXPERIMENTS_CASES_HPP

#include "chicorylink/base/units.hpp"
#include "workload.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chicorylink::experiment {

/// @brief A fault, or the end of one, at a given time of a run.
struct fault {
    enum class kind {
        /// The engine crashes: it refuses connections; the platform's list drops it later.
        crash_engine,
        /// The engine restarts with an empty cache.
        recover_engine,
        /// All times of the engine are multiplied by `factor`.
        slow_engine,
        /// The region is partitioned from the others, or connected again.
        partition_region,
        heal_region,
        /// The engine stops or resumes sending load reports.
        stop_reports,
        resume_reports,
    };
    base::milliseconds after{0};
    kind type = kind::crash_engine;
    std::size_t region = 0;
    std::size_t engine = 0;
    double factor = 1.0;
};

/// @brief One case of the experiment.
struct experiment_case {
    std::string name;
    traffic amount;
    base::milliseconds report_lag{150};
    double report_loss = 0.0;
    std::vector<fault> faults;
};

/// @brief All cases, scaled to the fleet of a user.
/// @param length The virtual length of a run.
[[nodiscard]] std::vector<experiment_case> make_cases(const user& profile,
                                                      base::milliseconds length);

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_CASES_HPP
