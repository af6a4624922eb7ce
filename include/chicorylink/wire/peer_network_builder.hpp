#ifndef CHICORYLINK_WIRE_PEER_NETWORK_BUILDER_HPP
#define CHICORYLINK_WIRE_PEER_NETWORK_BUILDER_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/wire/network_settings.hpp"
#include "chicorylink/wire/peer_handler.hpp"

#include <memory>
#include <string>

namespace chicorylink::base {
class metrics;
} // namespace chicorylink::base

namespace chicorylink::wire {

class peer_network;

/// @brief Collects the settings of a peer network and starts it.
class peer_network_builder {
public:
    peer_network_builder(base::vm_id self, base::incarnation process);

    /// @param address `IP:port`; port 0 lets the system choose one.
    peer_network_builder& listen(std::string address);

    /// @brief Uses mutual TLS on all links.
    peer_network_builder& tls(tls_settings settings);

    /// @brief Uses neither encryption nor authentication of peers. For tests and networks that
    /// are secured otherwise.
    peer_network_builder& plain_text();

    peer_network_builder& limits(link_limits value);

    /// @brief Metrics of refused, dropped and lost connections, streams and frames. Must outlive
    /// the network.
    peer_network_builder& metrics(base::metrics& value);

    peer_network_builder& handler(peer_handler value);

    /// @brief Binds the listening socket, loads the TLS files and starts the network thread.
    /// @return `invalid_setting` when neither or both of TLS and plain text are chosen or a
    /// setting can't be used, `io` when the address can't be bound.
    [[nodiscard]] base::result<std::unique_ptr<peer_network>> build();

private:
    network_settings m_settings;
    peer_handler m_handler;
    base::metrics* m_metrics = nullptr;
    bool m_plain_text = false;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_PEER_NETWORK_BUILDER_HPP
