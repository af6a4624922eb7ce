#ifndef CHICORYLINK_MEMBERSHIP_IDENTITY_HPP
#define CHICORYLINK_MEMBERSHIP_IDENTITY_HPP

#include "chicorylink/base/ids.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::membership {

/// @brief Who this process is: its settings, and what it made up at its start.
struct identity {
    std::string name;
    base::region_id region;
    base::data_center_id data_center;
    std::string caller_address;
    std::string peer_address;
    /// Random; never zero.
    base::incarnation process;
    /// Calendar time of the start in milliseconds; orders the incarnations at one address.
    std::uint64_t started_ms = 0;
};

/// @brief The id of the VM that an identity names.
[[nodiscard]] inline base::vm_id vm_of(const identity& who)
{
    return base::id_of<base::vm_id>(who.name);
}

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_IDENTITY_HPP
