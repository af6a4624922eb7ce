#ifndef CHICORYLINK_FLEET_TARGET_NOTICE_HPP
#define CHICORYLINK_FLEET_TARGET_NOTICE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief What a target asked of a VM with an answer, as VMs of a region tell each other.
struct target_notice {
    base::target_id target;
    /// The run of the target that said so: calendar time of its start, in milliseconds.
    std::int64_t started_ms = 0;
    /// It finishes what it has and ends; it wants nothing new from anyone.
    bool leaving = false;
    /// How much longer it wants nothing from the VM that it told; zero when it did not say.
    base::milliseconds wait{0};
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_NOTICE_HPP
