#ifndef CHICORYLINK_FRONT_FRONT_SETTINGS_HPP
#define CHICORYLINK_FRONT_FRONT_SETTINGS_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/heartbeat.hpp"
#include "chicorylink/fleet/retry_budget.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chicorylink::front {

/// @brief Bounds that the operators of the platform set for the whole system.
struct platform_bounds {
    /// A withdrawn key stops working within this time, even if the daemon can reach neither the
    /// store nor its peers.
    base::milliseconds key_withdrawal{5000};
    /// Most time from the stop signal to the end of the process.
    base::milliseconds stop_time{8000};
    fleet::retry_bound retries;
};

/// @brief The settings of the daemon, loaded at its start and at each reload.
struct front_settings {
    fleet::member_identity self;
    /// `IP:port` for callers, for the platform's readiness check and for the directory.
    std::string callers_address;
    std::string ready_address;
    std::string directory_address;
    /// `IP:port` for metrics, and for the published items that VMs copy from each other.
    std::string control_address;
    /// Port for requests of peers (TCP) and for heartbeats (UDP); the same on all VMs.
    std::uint16_t peer_port = 0;
    /// @brief Port for placement messages (UDP): the one after `peer_port`.
    [[nodiscard]] std::uint16_t placement_port() const
    {
        return static_cast<std::uint16_t>(peer_port + 1);
    }
    std::vector<std::string> seed_ips;
    std::string store_address;
    std::map<fleet::data_center_name, fleet::region_name> regions;
    platform_bounds bounds;
    /// Memory that the process may use.
    std::size_t memory_bytes = 256UL * 1024 * 1024;
    fleet::fleet_start start = fleet::fleet_start::later;
};

/// @brief The names of all regions.
[[nodiscard]] std::set<fleet::region_name> region_names(const front_settings& settings);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FRONT_SETTINGS_HPP
