#ifndef CHICORYLINK_WIRE_LINK_LIMITS_HPP
#define CHICORYLINK_WIRE_LINK_LIMITS_HPP

#include "chicorylink/base/units.hpp"

#include <cstddef>
#include <cstdint>

namespace chicorylink::wire {

/// @brief Bounds of memory and time of peer links. The same on all VMs.
struct link_limits {
    /// Of one frame, its length prefix left out.
    std::size_t frame_bytes = 1U << 20U;
    /// Bytes that a stream's sender may have on the way before the receiver has consumed them.
    std::uint64_t stream_window = 256U << 10U;
    /// Unsent bytes of one stream from which on `send_data` answers `full`.
    std::size_t stream_buffer = 256U << 10U;
    /// Unsent bytes of one link from which on `send_data` answers `full`.
    std::size_t link_buffer = 8U << 20U;
    /// Unsent control bytes of one link from which on control messages are refused.
    std::size_t control_buffer = 4U << 20U;
    /// Streams that one link carries at once.
    std::size_t streams = 1024;
    /// Inbound connections that have not yet said who they are.
    std::size_t unknown_connections = 64;
    /// From connecting to the peer's hello.
    base::milliseconds handshake_timeout{5'000};
    /// Silence after which a ping is sent.
    base::milliseconds ping_interval{1'000};
    /// Silence after which a link counts as lost.
    base::milliseconds dead_after{5'000};
    /// Bounds of the delay before a connection is tried again.
    base::milliseconds backoff_min{50};
    base::milliseconds backoff_max{5'000};
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_LINK_LIMITS_HPP
