#ifndef CHICORYLINK_WIRE_PEER_ADDRESS_HPP
#define CHICORYLINK_WIRE_PEER_ADDRESS_HPP

#include "chicorylink/base/ids.hpp"

#include <string>

namespace chicorylink::wire {

/// @brief A peer and the `IP:port` where it listens; IPv6 as `[address]:port`.
struct peer_address {
    base::vm_id vm;
    std::string address;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_PEER_ADDRESS_HPP
