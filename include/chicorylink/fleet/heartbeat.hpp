#ifndef CHICORYLINK_FLEET_HEARTBEAT_HPP
#define CHICORYLINK_FLEET_HEARTBEAT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/store_revision.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// @brief Identity, location and capacity of a VM.
struct member_identity {
    vm_name name;
    /// IP address without port; ports are the same on all VMs.
    std::string ip;
    region_name region;
    data_center_name data_center;
    base::incarnation run;
    vm_capacity capacity;
};

/// @brief State that a VM sends to another in one datagram, several times a second.
struct heartbeat {
    /// Without the name of the data center; receivers need only its hash.
    member_identity from;
    data_center_hash data_center;
    member_state state = member_state::not_ready;
    std::uint64_t sequence = 0;
    /// Time of sending by the sender's clock; the receiver echoes it.
    std::uint64_t sent_ms = 0;
    /// The `sent_ms` of the newest heartbeat from the receiver; zero if there is none.
    std::uint64_t echo_ms = 0;
    /// How long the sender has held that heartbeat; lets the receiver compute the round trip.
    base::milliseconds echo_held{0};
    base::config_version version;
    /// Revision of the newest published item that the sender knows.
    store_revision items_revision;
    /// Time since the sender's configuration was last confirmed to be the newest one.
    std::optional<base::milliseconds> confirmed_age;
    /// Time since the sender's targets were last confirmed to be all that the store lists.
    std::optional<base::milliseconds> targets_age;
    /// Time since which the sender knows the store to answer without an outage.
    std::optional<base::milliseconds> contact_age;
    /// Time since the sender's last failed read of the store.
    std::optional<base::milliseconds> failed_read_age;
    /// Set if the sender knows too few other VMs; requests all digests at once.
    bool wants_digests = false;
    /// What the sender itself has admitted and has at targets; the latter is sent only within a
    /// region.
    std::vector<team_usage> usage;
    std::vector<target_use> targets;
    /// Digests of the sender's region or of all regions, if the sender is a delegate.
    std::vector<region_digest> digests;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_HEARTBEAT_HPP
