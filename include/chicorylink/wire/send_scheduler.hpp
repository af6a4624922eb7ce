#ifndef CHICORYLINK_WIRE_SEND_SCHEDULER_HPP
#define CHICORYLINK_WIRE_SEND_SCHEDULER_HPP

#include "chicorylink/wire/outgoing_frame.hpp"
#include "chicorylink/wire/stream_id.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicorylink::wire {

/// @brief Decides the order in which one link's frames are sent. Pure: no clock, no I/O.
///
/// Three priorities: control first; then urgent streams, which are short or have just started, so
/// that first tokens are sent before bulk; then bulk. Streams of one priority are served round
/// robin, one chunk each. After `urgent_run` urgent frames bulk gets a turn, so that it isn't
/// starved. A stream without credit waits and blocks no other.
class send_scheduler {
public:
    /// Bytes of one data frame.
    static constexpr std::size_t chunk_bytes = 16U << 10U;
    /// A stream is urgent while it has sent less than this, or has less than this to send.
    static constexpr std::size_t urgent_bytes = 2U << 10U;
    /// Maximum of consecutive urgent frames while bulk waits.
    static constexpr std::uint32_t urgent_run = 8;

    /// @brief Queues an encoded frame. A frame larger than a chunk is sent with bulk priority.
    void push_control(std::vector<std::uint8_t> encoded);

    /// @brief Registers a stream with the initial credit from the peer.
    void add_stream(stream_number stream, std::uint64_t credit);

    /// @brief Queues bytes of a known stream.
    void push_data(stream_number stream, std::span<const std::uint8_t> data);

    /// @brief Queues the end of a known stream, after its bytes.
    void push_end(stream_number stream);

    /// @brief Adds credit granted by the peer.
    void add_credit(stream_number stream, std::uint64_t credit);

    /// @brief Removes a stream and its unsent bytes.
    void drop(stream_number stream);

    /// @brief Takes the next frame to send; empty when nothing may be sent now.
    [[nodiscard]] std::optional<outgoing_frame> next();

    [[nodiscard]] std::size_t control_bytes() const { return m_control_bytes; }
    [[nodiscard]] std::size_t data_bytes() const { return m_data_bytes; }

    /// @brief Unsent bytes of a stream; zero when it is unknown.
    [[nodiscard]] std::size_t pending(stream_number stream) const;

private:
    struct stream_queue {
        std::vector<std::uint8_t> bytes;
        std::size_t consumed = 0;
        std::uint64_t credit = 0;
        std::uint64_t sent = 0;
        bool end = false;
        bool in_lane = false;
    };

    [[nodiscard]] std::optional<outgoing_frame> next_urgent();
    [[nodiscard]] std::optional<outgoing_frame> next_bulk();
    [[nodiscard]] outgoing_frame take_chunk(stream_number number, stream_queue& stream);
    void enter_lane(stream_number number, stream_queue& stream);

    std::deque<std::vector<std::uint8_t>> m_control;
    std::deque<std::vector<std::uint8_t>> m_large_control;
    std::deque<stream_number> m_urgent;
    std::deque<stream_number> m_bulk;
    std::unordered_map<stream_number, stream_queue> m_streams;
    std::size_t m_control_bytes = 0;
    std::size_t m_data_bytes = 0;
    std::uint32_t m_urgent_in_row = 0;
    bool m_large_control_turn = true;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_SEND_SCHEDULER_HPP
