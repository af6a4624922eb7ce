#ifndef CHICORYLINK_WIRE_NETWORK_SETTINGS_HPP
#define CHICORYLINK_WIRE_NETWORK_SETTINGS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/wire/link_limits.hpp"
#include "chicorylink/wire/tls_settings.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorylink::wire {

/// @brief The checked settings of a peer network, made by `peer_network_builder`.
struct network_settings {
    base::vm_id self;
    base::incarnation process;
    /// `IP:port`; port 0 lets the system choose one.
    std::string listen_address;
    link_limits limits;
    /// Empty for plain text.
    std::optional<tls_settings> tls;
    /// Seed of the jitter of reconnects.
    std::uint64_t seed = 0;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_NETWORK_SETTINGS_HPP
