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

/// @brief Writes bytes to a stream of a peer link and keeps those that the link does not take yet.
///
/// Thread-safe. Bytes are sent in the order of the calls.
class stream_writer {
public:
    /// Unsent bytes from which on `write` asks its caller to wait.
    static constexpr std::size_t full_bytes = 256UL * 1024;

    stream_writer(wire::peer_network& network, wire::stream_id stream)
        : m_network(network), m_stream(stream)
    {
    }

    /// @brief Adds bytes.
    /// @return False when the caller should wait for `on_room` before it adds more.
    bool write(std::span<const std::uint8_t> bytes);

    /// @brief Ends this side of the stream after all bytes that were added.
    void finish();

    /// @brief To be called by the stream's handler when the link takes bytes again.
    void flush();

    /// @brief Sets what is called, on the network thread, when there is room again.
    void set_on_room(std::function<void()> on_room);

    [[nodiscard]] wire::stream_id stream() const { return m_stream; }

private:
    /// Sends what the link takes; returns whether all was sent.
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
