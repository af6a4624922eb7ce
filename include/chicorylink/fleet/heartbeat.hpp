#ifndef CHICORYLINK_FLEET_HEARTBEAT_HPP
#define CHICORYLINK_FLEET_HEARTBEAT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief What a VM does with requests at present.
enum class member_state : std::uint8_t {
    /// Knows no configuration or no targets yet, or may not use them any more.
    not_ready,
    ready,
    /// Finishes what it has and ends.
    leaving,
};

/// @brief Who a VM is and where.
struct member_identity {
    vm_name name;
    /// IP number without port; ports are the same on all VMs.
    std::string ip;
    region_name region;
    data_center_name data_center;
    base::incarnation run;
};

/// @brief The units of a team's quota that a process has admitted since its start.
struct team_usage {
    base::team_id team;
    std::uint64_t admitted = 0;
};

/// @brief What a process has at one target.
struct target_use {
    base::target_id target;
    std::uint32_t in_flight = 0;
    /// Prompt tokens of its requests that the target has yet to read.
    std::uint32_t unread_tokens = 0;
};

/// @brief How long work waits at the targets of a service in the sender's region.
struct service_outlook {
    std::uint64_t service = 0;
    std::uint32_t usable_targets = 0;
    base::milliseconds wait{0};
};

/// @brief What a VM tells another, several times a second, in one datagram.
struct heartbeat {
    member_identity from;
    member_state state = member_state::not_ready;
    std::uint64_t sequence = 0;
    /// The sender's clock; the receiver echoes it.
    std::uint64_t sent_ms = 0;
    /// The `sent_ms` of the newest heartbeat that came from the receiver; zero without one.
    std::uint64_t echo_ms = 0;
    /// How long the sender had that heartbeat, so that the receiver can tell the round trip.
    base::milliseconds echo_held{0};
    base::config_version version;
    /// How long ago the sender's configuration was last proved to be the newest one.
    std::optional<base::milliseconds> confirmed_age;
    /// IP numbers of the VMs that the sender knows.
    std::vector<std::string> known;
    std::vector<team_usage> usage;
    /// Only told within a region.
    std::vector<target_use> targets;
    std::vector<service_outlook> outlook;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_HEARTBEAT_HPP
