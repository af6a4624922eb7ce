#ifndef CHICORYLINK_WIRE_SEND_RESULT_HPP
#define CHICORYLINK_WIRE_SEND_RESULT_HPP

namespace chicorylink::wire {

/// @brief What became of bytes handed to a stream.
enum class send_result {
    taken,
    /// Not taken; `on_window` tells when to try again.
    full,
    /// Not taken; the stream is over or its connection is lost.
    closed,
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_SEND_RESULT_HPP
