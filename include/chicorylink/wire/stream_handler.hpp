#ifndef CHICORYLINK_WIRE_STREAM_HANDLER_HPP
#define CHICORYLINK_WIRE_STREAM_HANDLER_HPP

#include "chicorylink/wire/frame.hpp"

#include <cstdint>
#include <functional>
#include <span>

namespace chicorylink::wire {

/// @brief Callbacks for events of a stream.
///
/// Called on the network thread, one at a time, with no lock held; must not block. The last call
/// is one of `on_reset` and `on_lost`, or `on_end` when this side has finished as well. Empty
/// members are skipped.
struct stream_handler {
    /// Bytes arrived. Call `peer_network::consume` once they are processed.
    std::function<void(std::span<const std::uint8_t>)> on_data;
    /// `send_data` accepts bytes again after it returned `full`.
    std::function<void()> on_writable;
    /// The other side has finished: all its bytes have arrived.
    std::function<void()> on_end;
    /// The other side has aborted the stream.
    std::function<void(reset_reason)> on_reset;
    /// The connection was lost before the stream was finished.
    std::function<void()> on_lost;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_STREAM_HANDLER_HPP
