#ifndef CHICORYLINK_MEMBERSHIP_MEMBER_HPP
#define CHICORYLINK_MEMBERSHIP_MEMBER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/membership/load_summary.hpp"

#include <string>

namespace chicorylink::membership {

/// @brief The state of a VM as this process sees it.
enum class member_state {
    live,
    /// Was told to leave: finishes its work and takes no new work.
    leaving,
    /// Heartbeats are missing; the VM may still be running.
    suspect,
    /// Its last known process has provably ended or can no longer act: see `gone_proof`.
    gone,
};

/// @brief Why a process is known to be gone.
enum class gone_proof : std::uint8_t {
    none,
    /// A newer incarnation sent a message from its address.
    replaced,
    /// A connection to its address was refused.
    refused,
    /// A fresh platform list omits it, and no VM of the region heard from it for longer than the
    /// fence term.
    silent,
};

/// @brief One VM as this process knows it.
struct member {
    base::vm_id id;
    std::string name;
    base::region_id region;
    base::data_center_id data_center;
    /// `IP:port` that callers use.
    std::string caller_address;
    /// `IP:port` for peer links.
    std::string peer_address;
    /// Zero until the process was heard from.
    base::incarnation process;
    member_state state = member_state::suspect;
    gone_proof proof = gone_proof::none;
    /// The newest configuration version that it reported; zero until it was heard from.
    base::config_version config_known;
    /// Whether it reported that the configuration service answered its last call.
    bool reaches_service = false;
    load_summary load;
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_MEMBER_HPP
