#ifndef CHICORYLINK_WIRE_SEND_RESULT_HPP
#define CHICORYLINK_WIRE_SEND_RESULT_HPP

namespace chicorylink::wire {

/// @brief Result of queueing bytes of a stream.
enum class send_result {
    queued,
    /// Not queued; `on_writable` is called when the stream accepts bytes again.
    full,
    /// Not queued; the stream is finished or its connection is lost.
    closed,
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_SEND_RESULT_HPP
