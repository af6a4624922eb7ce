#ifndef CHICORYLINK_WIRE_OUTGOING_FRAME_HPP
#define CHICORYLINK_WIRE_OUTGOING_FRAME_HPP

#include "chicorylink/wire/stream_id.hpp"

#include <cstdint>
#include <vector>

namespace chicorylink::wire {

/// @brief What the scheduler returns: an encoded frame, a chunk of a stream, or its end.
struct outgoing_frame {
    enum class content { encoded, chunk, end };

    content type = content::encoded;
    stream_number stream;
    std::vector<std::uint8_t> bytes;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_OUTGOING_FRAME_HPP
