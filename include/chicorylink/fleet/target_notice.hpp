#ifndef CHICORYLINK_FLEET_TARGET_NOTICE_HPP
#define CHICORYLINK_FLEET_TARGET_NOTICE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief What a target asked of a VM in an answer, as shared among the VMs of a region.
struct target_notice {
    base::target_id target;
    /// Run of the target that sent it: calendar time of its start, in milliseconds.
    std::int64_t started_ms = 0;
    /// Whether it finishes its requests and then exits; no VM may send it new ones.
    bool leaving = false;
    /// Remaining time for which it wants no requests from the VM that it answered; zero if not
    /// stated.
    base::milliseconds wait{0};
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_NOTICE_HPP
