#ifndef CHICORYLINK_WIRE_FRAME_HPP
#define CHICORYLINK_WIRE_FRAME_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/wire/stream_id.hpp"

#include <cstdint>
#include <span>

namespace chicorylink::wire {

struct channel_tag;

/// The receiver of a control message within a process, such as the budget module.
using channel_id = base::strong_id<channel_tag, std::uint16_t>;

/// Protocol version; two processes communicate only when their versions are equal.
inline constexpr std::uint16_t protocol_version = 1;

/// @brief The kinds of frames on a peer link.
enum class frame_kind : std::uint8_t {
    /// Names the VM, its process run and the protocol version. The first frame of each side.
    hello = 0,
    control = 1,
    open = 2,
    data = 3,
    /// Grants the other side credit to send more bytes of a stream.
    window = 4,
    end = 5,
    reset = 6,
    /// Shows that the sender is alive when it has nothing else to send.
    ping = 7,
};

/// @brief Why a stream was aborted before its end.
enum class reset_reason : std::uint8_t {
    cancelled = 0,
    refused = 1,
    overloaded = 2,
    broken = 3,
    timed_out = 4,
};

/// @brief One frame. The payload is a view into a buffer of the caller.
struct frame {
    frame_kind kind = frame_kind::ping;
    base::incarnation sender;
    stream_number stream;
    channel_id channel;
    std::uint64_t credit = 0;
    reset_reason reason = reset_reason::cancelled;
    base::vm_id vm;
    std::uint16_t version = 0;
    std::span<const std::uint8_t> payload;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_FRAME_HPP
