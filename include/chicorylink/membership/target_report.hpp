#ifndef CHICORYLINK_MEMBERSHIP_TARGET_REPORT_HPP
#define CHICORYLINK_MEMBERSHIP_TARGET_REPORT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <vector>

namespace chicorylink::membership {

/// @brief A target's report of its own state, as shared between the VMs of its region.
struct target_report {
    base::target_id target;
    /// Increases with each poll by the same process.
    std::uint64_t sequence = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    bool leaving = false;
    /// Whether it answered the poll.
    bool reachable = true;
    /// How old the report was when it was sent.
    base::milliseconds age{0};
};

/// @brief Reports of the targets that one VM polls, sent to the VMs of its region.
struct target_reports {
    base::vm_id from;
    base::incarnation process;
    std::vector<target_report> reports;
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_TARGET_REPORT_HPP
