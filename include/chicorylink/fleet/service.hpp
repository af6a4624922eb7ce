#ifndef CHICORYLINK_FLEET_SERVICE_HPP
#define CHICORYLINK_FLEET_SERVICE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <cstdint>

namespace chicorylink::fleet {

/// @brief A group of equivalent targets.
struct service {
    service_name name;
    /// Connections that one target accepts from all VMs together; 0 if unlimited.
    std::uint32_t max_connections = 0;
    /// Time for which a newly started target is cold.
    base::milliseconds cold_time{0};
    /// Requests per second that a cold target can take; 0 if unlimited.
    double cold_requests_per_second = 0;
    /// Whether its targets are model engines, which read prompts and cache prompt parts.
    bool is_engine = false;
    /// Tokens that fit into one engine's memory; 0 if unknown.
    std::uint64_t memory_tokens = 0;
    /// Prompt tokens per millisecond that one engine can fetch from another's cache; 0 if it can't.
    double fetch_tokens_per_ms = 0;
    /// Output tokens that one event of a stream holds; 0 if unknown.
    std::uint32_t tokens_per_event = 0;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_SERVICE_HPP
