#ifndef CHICORYLINK_FLEET_SERVICE_HPP
#define CHICORYLINK_FLEET_SERVICE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief A group of equal targets.
struct service {
    service_name name;
    /// Connections that one target accepts from all VMs together; 0 when it is not bounded.
    std::uint32_t max_connections = 0;
    /// How long a target that was just started is cold.
    base::milliseconds cold_time{0};
    /// Requests a second that a cold target bears; 0 when it bears all.
    double cold_requests_per_second = 0;
    /// Whether its targets are model engines, which read prompts and cache their parts.
    bool is_engine = false;
    /// Tokens that fit into one engine's memory; 0 when unknown.
    std::uint64_t memory_tokens = 0;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_SERVICE_HPP
