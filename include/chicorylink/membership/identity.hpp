#ifndef CHICORYLINK_MEMBERSHIP_IDENTITY_HPP
#define CHICORYLINK_MEMBERSHIP_IDENTITY_HPP

#include "chicorylink/base/ids.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::membership {

/// @brief The identity of this process: values from its settings, and those chosen at its start.
struct identity {
    std::string name;
    base::region_id region;
    base::data_center_id data_center;
    std::string caller_address;
    std::string peer_address;
    /// Random; never zero.
    base::incarnation process;
    /// Wall-clock start time in milliseconds; orders the incarnations at one address.
    std::uint64_t started_ms = 0;
};

/// @brief Returns the VM id of an identity.
[[nodiscard]] inline base::vm_id vm_of(const identity& peer)
{
    return base::id_of<base::vm_id>(peer.name);
}

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_IDENTITY_HPP
