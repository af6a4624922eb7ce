#ifndef CHICORYLINK_EXPERIMENTS_CASES_HPP
#define CHICORYLINK_EXPERIMENTS_CASES_HPP

#include "chicorylink/base/units.hpp"
#include "workload.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace chicorylink::experiment {

/// @brief Something that goes wrong, or right again, during a run.
struct fault {
    enum class kind {
        /// The engine dies: connections are refused; the platform's list drops it later.
        lose_engine,
        /// The engine is back with an empty cache.
        return_engine,
        /// The engine becomes slower by `factor`.
        slow_engine,
        /// The region is cut off from the others, or joined again.
        part_region,
        heal_region,
        /// The engine's reports stop or come again.
        silence_engine,
        hear_engine,
    };
    base::milliseconds after{0};
    kind what = kind::lose_engine;
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

/// @brief All cases at the size of a user.
[[nodiscard]] std::vector<experiment_case> make_cases(const user& who, base::milliseconds length);

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_CASES_HPP
