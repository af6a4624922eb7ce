#ifndef CHICORYLINK_FLEET_CRASH_REPORT_HPP
#define CHICORYLINK_FLEET_CRASH_REPORT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/prompt.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace chicorylink::fleet {

/// @brief One run of a target; it can crash only once.
struct target_run {
    base::target_id target;
    /// Calendar time of the start of the run, in milliseconds.
    std::int64_t started_ms = 0;

    friend auto operator<=>(const target_run&, const target_run&) = default;
};

/// @brief A target may have crashed while it answered a request with this part.
struct crash_report {
    prompt_part_id part;
    target_run run;
    /// Time since the connection broke.
    base::milliseconds age{0};

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// @brief A target has answered a request with this part.
struct survival_report {
    prompt_part_id part;
    /// Time since the answer began.
    base::milliseconds age{0};

    friend bool operator==(const survival_report&, const survival_report&) = default;
};

/// @brief Requests with this part are refused.
struct quarantine_report {
    prompt_part_id part;
    /// How often in succession the part was quarantined.
    std::uint32_t number = 0;
    base::milliseconds left{0};

    friend bool operator==(const quarantine_report&, const quarantine_report&) = default;
};

/// @brief What VMs tell each other about parts of prompts that crash targets.
struct crash_reports {
    std::vector<crash_report> crashes;
    std::vector<survival_report> survivals;
    std::vector<quarantine_report> quarantines;

    [[nodiscard]] bool empty() const
    {
        return crashes.empty() && survivals.empty() && quarantines.empty();
    }

    friend bool operator==(const crash_reports&, const crash_reports&) = default;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CRASH_REPORT_HPP
