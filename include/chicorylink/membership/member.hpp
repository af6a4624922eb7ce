#ifndef CHICORYLINK_MEMBERSHIP_MEMBER_HPP
#define CHICORYLINK_MEMBERSHIP_MEMBER_HPP

#include "chicorylink/base/ids.hpp"

#include <string>

namespace chicorylink::membership {

/// @brief What is believed of a VM.
enum class member_state {
    live,
    /// Told to leave: finishes its work and takes no more.
    leaving,
    /// Heartbeats are missing; it may still run.
    suspect,
    /// Proven to be gone: a newer incarnation spoke from its address, or the platform's fresh list
    /// dropped it and it was silent for longer than the fence term.
    gone,
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
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_MEMBER_HPP
