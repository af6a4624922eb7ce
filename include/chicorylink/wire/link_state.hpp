#ifndef CHICORYLINK_WIRE_LINK_STATE_HPP
#define CHICORYLINK_WIRE_LINK_STATE_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/wire/frame.hpp"
#include "chicorylink/wire/frame_reader.hpp"
#include "chicorylink/wire/link_counts.hpp"
#include "chicorylink/wire/link_event.hpp"
#include "chicorylink/wire/link_limits.hpp"
#include "chicorylink/wire/link_role.hpp"
#include "chicorylink/wire/send_result.hpp"
#include "chicorylink/wire/send_scheduler.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicorylink::wire {

/// @brief Protocol state machine of one connection, without I/O: takes received bytes, returns
/// events and the bytes to send.
class link_state {
public:
    link_state(link_role role, base::vm_id self, base::incarnation process,
               const link_limits& limits, base::time_point now);

    /// @brief Processes received bytes; appends to `events`, also when it fails.
    /// @return `invalid_message` when the peer violates the protocol; the link must be closed.
    [[nodiscard]] base::result<void> receive(std::span<const std::uint8_t> bytes,
                                             base::time_point now, std::vector<link_event>& events);

    /// @brief Replies to the hello of a peer that may connect.
    void accept_peer();

    [[nodiscard]] bool established() const { return m_established; }
    [[nodiscard]] base::incarnation peer_process() const { return m_peer_process; }

    /// @brief Queues a control message; false when it is too large or the queue is full.
    bool send_control(channel_id channel, std::span<const std::uint8_t> message);

    /// @brief Opens a stream; empty when the link is not established, is at a
    /// limit or the header is too large.
    [[nodiscard]] std::optional<stream_number> open(std::span<const std::uint8_t> header);

    send_result send(stream_number stream, std::span<const std::uint8_t> data);
    void finish(stream_number stream);
    void reset(stream_number stream, reset_reason reason);
    void consume(stream_number stream, std::size_t byte_count);

    [[nodiscard]] bool has(stream_number stream) const { return m_streams.contains(stream); }
    [[nodiscard]] std::vector<stream_number> open_streams() const;

    /// @brief Appends frames to `out` until it holds `wanted` bytes or nothing may be sent.
    void take_output(std::vector<std::uint8_t>& out, std::size_t wanted, base::time_point now);

    /// @brief Returns the streams that were full and accept bytes again.
    [[nodiscard]] std::vector<stream_number> take_writable();

    /// @brief Returns the streams that both sides have finished.
    [[nodiscard]] std::vector<stream_number> take_finished();

    /// @brief Queues a ping when it is due.
    /// @return False when the peer was silent for too long; the link must be closed.
    [[nodiscard]] bool check_time(base::time_point now);

    /// @brief When `check_time` must be called next.
    [[nodiscard]] base::time_point next_check() const;

    [[nodiscard]] const link_counts& counts() const { return m_counts; }

private:
    struct stream_state {
        /// Bytes that the peer may still send.
        std::uint64_t receivable = 0;
        /// Consumed bytes for which no credit was returned to the peer yet.
        std::uint64_t consumed = 0;
        bool finishing = false;
        bool end_sent = false;
        bool end_received = false;
        bool was_full = false;
    };

    [[nodiscard]] base::result<void> handle_frame(std::span<const std::uint8_t> body,
                                                  std::vector<link_event>& events);
    [[nodiscard]] base::result<void> handle_hello(const frame& value,
                                                  std::vector<link_event>& events);
    [[nodiscard]] base::result<void> handle_open(const frame& value,
                                                 std::vector<link_event>& events);
    [[nodiscard]] base::result<void> handle_data(const frame& value,
                                                 std::vector<link_event>& events);
    void handle_end(const frame& value, std::vector<link_event>& events);
    void handle_reset(const frame& value, std::vector<link_event>& events);
    void push(frame value);
    void push_hello();
    [[nodiscard]] bool has_room(stream_number stream) const;
    void add_stream(stream_number stream);
    void close_if_finished(stream_number stream);

    link_role m_role;
    base::vm_id m_self;
    base::incarnation m_process;
    link_limits m_limits;
    frame_reader m_reader;
    send_scheduler m_scheduler;
    std::unordered_map<stream_number, stream_state> m_streams;
    std::vector<stream_number> m_full;
    std::vector<stream_number> m_finished;
    base::incarnation m_peer_process;
    stream_number m_last_opened;
    bool m_hello_received = false;
    bool m_established = false;
    base::time_point m_created;
    base::time_point m_received_at;
    base::time_point m_sent_at;
    link_counts m_counts;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_LINK_STATE_HPP
