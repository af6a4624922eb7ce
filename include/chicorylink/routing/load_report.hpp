#ifndef CHICORYLINK_ROUTING_LOAD_REPORT_HPP
#define CHICORYLINK_ROUTING_LOAD_REPORT_HPP

#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::routing {

/// @brief What a target says of its load.
struct load_report {
    /// Requests that it works on.
    std::uint32_t running = 0;
    /// Requests that wait in its own queue.
    std::uint32_t waiting = 0;
    /// Requests that it works on at once; zero when it does not say.
    std::uint32_t slots = 0;
    bool leaving = false;
    /// How old the report is when it arrives.
    base::milliseconds age{0};
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_LOAD_REPORT_HPP
