#ifndef CHICORYLINK_FLEET_CRASH_REPORT_HPP
#define CHICORYLINK_FLEET_CRASH_REPORT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/crash_subject.hpp"

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

/// @brief A target may have crashed while it answered a request with this subject.
struct crash_report {
    crash_subject subject;
    target_run run;
    /// Time since the connection broke.
    base::milliseconds age{0};

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// @brief A target has answered a request with this subject.
struct survival_report {
    crash_subject subject;
    /// Time since the answer began.
    base::milliseconds age{0};

    friend bool operator==(const survival_report&, const survival_report&) = default;
};

/// @brief Requests with this subject are refused.
struct quarantine_report {
    crash_subject subject;
    /// How often in succession the subject was quarantined.
    std::uint32_t number = 0;
    base::milliseconds left{0};

    friend bool operator==(const quarantine_report&, const quarantine_report&) = default;
};

/// @brief What VMs tell each other about what crashes targets.
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
