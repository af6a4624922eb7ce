#ifndef CHICORYLINK_WIRE_PEER_HANDLER_HPP
#define CHICORYLINK_WIRE_PEER_HANDLER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/wire/frame.hpp"
#include "chicorylink/wire/stream_handler.hpp"
#include "chicorylink/wire/stream_id.hpp"

#include <cstdint>
#include <functional>
#include <span>

namespace chicorylink::wire {

/// @brief Callbacks for events of peers.
///
/// Called on the network thread, one at a time, with no lock held; must not block. Empty members
/// are skipped.
struct peer_handler {
    /// A control message arrived from a peer; the incarnation identifies its process run.
    std::function<void(base::vm_id, base::incarnation, channel_id, std::span<const std::uint8_t>)>
        on_control;
    /// A peer opened a stream; returns the stream's callbacks.
    std::function<stream_handler(base::vm_id, base::incarnation, stream_id,
                                 std::span<const std::uint8_t>)>
        on_open;
    /// The connection that this process opened to a peer is ready for use.
    std::function<void(base::vm_id, base::incarnation)> on_connected;
    /// The connection that this process opened to a peer is lost.
    std::function<void(base::vm_id)> on_disconnected;
    /// The peer's address refused the connection: no process listens there.
    std::function<void(base::vm_id)> on_refused;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_PEER_HANDLER_HPP
