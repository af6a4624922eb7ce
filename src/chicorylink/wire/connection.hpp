#ifndef CHICORYLINK_WIRE_CONNECTION_HPP
#define CHICORYLINK_WIRE_CONNECTION_HPP

#include "chicorylink/wire/file_descriptor.hpp"
#include "chicorylink/wire/link_state.hpp"
#include "chicorylink/wire/stream_handler.hpp"
#include "chicorylink/wire/stream_id.hpp"
#include "chicorylink/wire/tls_session.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorylink::wire {

/// @brief One TCP connection. The members up to `mutex` belong to the network thread alone.
struct connection {
    connection(link_number link_id, link_role side, link_state protocol)
        : number(link_id), role(side), state(std::move(protocol))
    {
    }

    const link_number number;
    const link_role role;

    file_descriptor socket;
    /// Empty for plain text.
    std::unique_ptr<tls_session> tls;
    /// Bytes to write to the socket.
    std::vector<std::uint8_t> output;
    std::size_t written = 0;
    bool connecting = false;
    bool waits_for_writable = false;
    /// Whether epoll reports when the socket is writable.
    bool watches_writable = false;
    /// Whether the peer's certificate must contain its VM name.
    bool needs_vm_name = false;
    /// Whether the connection is closed once it has no open stream.
    bool retired = false;
    bool closed = false;
    /// Known from the start for a dialer, once the peer's hello was accepted for an acceptor.
    base::vm_id peer;
    /// The counts that were already added to the metrics.
    link_counts reported;

    /// Guards the members below; not held while handlers run or sockets are used.
    std::mutex mutex;
    link_state state;
    bool lost = false;
    std::unordered_map<stream_number, std::shared_ptr<const stream_handler>> handlers;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_CONNECTION_HPP
