#ifndef CHICORYLINK_MEMBERSHIP_MEMBER_HPP
#define CHICORYLINK_MEMBERSHIP_MEMBER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/membership/load_summary.hpp"

#include <string>

namespace chicorylink::membership {

/// @brief What is believed of a VM.
enum class member_state {
    live,
    /// Told to leave: finishes its work and takes no more.
    leaving,
    /// Heartbeats are missing; it may still run.
    suspect,
    /// Its last known process is proven to have ended, or can't act any more: see `gone_proof`.
    gone,
};

/// @brief Why a process is known to be gone.
enum class gone_proof : std::uint8_t {
    none,
    /// A newer incarnation spoke from its address.
    replaced,
    /// A connection to its address was refused.
    refused,
    /// The platform's fresh list dropped it, and all VMs of the region had silence from it for
    /// longer than the fence term.
    silent,
};

/// @brief One VM of the system as seen from here.
struct member {
    base::vm_id id;
    std::string name;
    base::region_id region;
    base::data_center_id data_center;
    /// `IP:port` that callers use.
    std::string caller_address;
    /// `IP:port` of the peer links.
    std::string peer_address;
    /// Zero until the process was heard.
    base::incarnation process;
    member_state state = member_state::suspect;
    gone_proof proof = gone_proof::none;
    /// The newest configuration that it said to know; zero until it was heard.
    base::config_version config_known;
    /// Whether the configuration service answered its last call, as far as it said.
    bool reaches_service = false;
    load_summary load;
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_MEMBER_HPP
