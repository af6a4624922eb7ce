#ifndef CHICORYLINK_GATEWAY_STREAM_WRITER_HPP
#define CHICORYLINK_GATEWAY_STREAM_WRITER_HPP

#include "chicorylink/wire/stream_id.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <span>
#include <vector>

namespace chicorylink::wire {
class peer_network;
} // namespace chicorylink::wire

namespace chicorylink::gateway {

/// @brief Writes to a stream of a peer link and buffers the bytes that the link can't accept yet.
///
/// Thread-safe. Bytes are sent in the order of the calls.
class stream_writer {
public:
    /// Number of unsent bytes from which `write` asks its caller to wait.
    static constexpr std::size_t full_bytes = 256UL * 1024;

    stream_writer(wire::peer_network& network, wire::stream_id stream)
        : m_network(network), m_stream(stream)
    {
    }

    /// @brief Appends bytes.
    /// @return False when the caller should wait for `on_room` before it appends more.
    bool write(std::span<const std::uint8_t> bytes);

    /// @brief Closes this side of the stream once all appended bytes are sent.
    void finish();

    /// @brief To be called by the stream's handler when the link accepts bytes again.
    void flush();

    /// @brief Sets the callback, run on the network thread, for when the buffer has room again.
    void set_on_room(std::function<void()> on_room);

    [[nodiscard]] wire::stream_id stream() const { return m_stream; }

private:
    /// Sends as many bytes as the link accepts; returns whether none are left.
    bool send_locked();

    wire::peer_network& m_network;
    const wire::stream_id m_stream;
    std::mutex m_mutex;
    std::vector<std::uint8_t> m_unsent;
    bool m_finishing = false;
    bool m_finished = false;
    bool m_was_full = false;
    std::function<void()> m_on_room;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_STREAM_WRITER_HPP
