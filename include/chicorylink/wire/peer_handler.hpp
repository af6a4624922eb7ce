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

/// @brief What to call when something arrives from a peer.
///
/// Called on the network thread, one at a time, with no lock held; must not block. Empty members
/// are skipped.
struct peer_handler {
    /// A control message of a process run of a peer.
    std::function<void(base::vm_id, base::incarnation, channel_id, std::span<const std::uint8_t>)>
        on_control;
    /// A peer opened a stream; the answer is what to call for it.
    std::function<stream_handler(base::vm_id, base::incarnation, stream_id,
                                 std::span<const std::uint8_t>)>
        on_open;
    /// The connection that this process opened to a peer is ready for use.
    std::function<void(base::vm_id, base::incarnation)> on_connected;
    /// The connection that this process opened to a peer is lost.
    std::function<void(base::vm_id)> on_disconnected;
    /// Nothing listens at the peer's address at this moment.
    std::function<void(base::vm_id)> on_refused;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_PEER_HANDLER_HPP
