#ifndef CHICORYLINK_FLEET_TARGET_PACE_HPP
#define CHICORYLINK_FLEET_TARGET_PACE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief A report about the speed of a target: either how long a reserved request took to begin,
/// or what the target stated about its times.
struct target_pace {
    /// Number of the reservation of a request that began; 0 for a statement.
    std::uint64_t number = 0;
    /// From sending the request to the first event of its response.
    base::milliseconds took{0};
    /// The target that made a statement, and the start of its run.
    base::target_id target;
    std::int64_t started_ms = 0;
    /// How long work takes there at present; 100 means as usual.
    std::uint16_t percent = 0;
    base::milliseconds age{0};
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_PACE_HPP
