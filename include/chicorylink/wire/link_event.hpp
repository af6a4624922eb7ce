#ifndef CHICORYLINK_WIRE_LINK_EVENT_HPP
#define CHICORYLINK_WIRE_LINK_EVENT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/wire/frame.hpp"
#include "chicorylink/wire/stream_id.hpp"

#include <cstdint>
#include <vector>

namespace chicorylink::wire {

/// @brief An event that a link decoded from received bytes.
struct link_event {
    enum class content {
        /// The peer identified itself; on an accepted connection `accept_peer` must follow.
        hello,
        control,
        opened,
        data,
        ended,
        reset,
    };

    content type = content::hello;
    stream_number stream;
    channel_id channel;
    reset_reason reason = reset_reason::cancelled;
    base::vm_id vm;
    base::incarnation process;
    std::vector<std::uint8_t> payload;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_LINK_EVENT_HPP
