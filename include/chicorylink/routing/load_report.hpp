#ifndef CHICORYLINK_ROUTING_LOAD_REPORT_HPP
#define CHICORYLINK_ROUTING_LOAD_REPORT_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::routing {

/// @brief The load that a target reports.
struct load_report {
    /// Requests being processed.
    std::uint32_t running = 0;
    /// Requests waiting in the target's own queue.
    std::uint32_t waiting = 0;
    /// Maximum number of concurrent requests; zero if not reported.
    std::uint32_t slots = 0;
    bool leaving = false;
    /// The age of the report on arrival.
    base::milliseconds age{0};
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_LOAD_REPORT_HPP
