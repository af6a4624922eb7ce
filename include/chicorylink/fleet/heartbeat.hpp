#ifndef CHICORYLINK_FLEET_HEARTBEAT_HPP
#define CHICORYLINK_FLEET_HEARTBEAT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/region_digest.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief Who a VM is and where.
struct member_identity {
    vm_name name;
    /// IP number without port; ports are the same on all VMs.
    std::string ip;
    region_name region;
    data_center_name data_center;
    base::incarnation run;
    vm_capacity capacity;
};

/// @brief What a VM tells another, several times a second, in one datagram.
struct heartbeat {
    /// Without the name of the data center, of which others need the mark only.
    member_identity from;
    data_center_mark data_center;
    member_state state = member_state::not_ready;
    std::uint64_t sequence = 0;
    /// The sender's clock; the receiver echoes it.
    std::uint64_t sent_ms = 0;
    /// The `sent_ms` of the newest heartbeat that came from the receiver; zero without one.
    std::uint64_t echo_ms = 0;
    /// How long the sender had that heartbeat, so that the receiver can tell the round trip.
    base::milliseconds echo_held{0};
    base::config_version version;
    /// The revision of the newest published item that the sender knows.
    std::uint64_t items_revision = 0;
    /// How long ago the sender's configuration was last proved to be the newest one.
    std::optional<base::milliseconds> confirmed_age;
    /// The sender knows too few others and asks for all digests at once.
    bool wants_digests = false;
    /// What the sender itself has admitted and has at targets; the latter only within a region.
    std::vector<team_usage> usage;
    std::vector<target_use> targets;
    /// Of the sender's region or of all, when the sender is a delegate.
    std::vector<region_digest> digests;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_HEARTBEAT_HPP
