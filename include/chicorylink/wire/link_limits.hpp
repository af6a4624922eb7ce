#ifndef CHICORYLINK_WIRE_LINK_LIMITS_HPP
#define CHICORYLINK_WIRE_LINK_LIMITS_HPP

#include "chicorylink/base/units.hpp"

#include <cstddef>
#include <cstdint>

namespace chicorylink::wire {

/// @brief Memory limits and timeouts of peer links. The same on all VMs.
struct link_limits {
    /// Size of one frame without its length prefix.
    std::size_t frame_bytes = 1U << 20U;
    /// Bytes that a stream's sender may send before the receiver has consumed them.
    std::uint64_t stream_window = 256U << 10U;
    /// Unsent bytes of one stream at which `send_data` returns `full`.
    std::size_t stream_buffer = 256U << 10U;
    /// Unsent bytes of one link at which `send_data` returns `full`.
    std::size_t link_buffer = 8U << 20U;
    /// Unsent control bytes of one link beyond which control messages are refused.
    std::size_t control_buffer = 4U << 20U;
    /// Concurrent streams of one link.
    std::size_t streams = 1024;
    /// Inbound connections whose peer has not identified itself yet.
    std::size_t unidentified_connections = 64;
    /// Time from connecting to the peer's hello.
    base::milliseconds handshake_timeout{5'000};
    /// Time without sending after which a ping is sent.
    base::milliseconds ping_interval{1'000};
    /// Time without receiving after which a link counts as lost.
    base::milliseconds dead_after{5'000};
    /// Bounds of the delay before reconnecting.
    base::milliseconds backoff_min{50};
    base::milliseconds backoff_max{5'000};
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_LINK_LIMITS_HPP
