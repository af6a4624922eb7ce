#ifndef CHICORYLINK_FRONT_TCP_CHANNEL_HPP
#define CHICORYLINK_FRONT_TCP_CHANNEL_HPP

#include "chicorylink/base/units.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace chicorylink::front {

class held_bytes;
class response_buffers;

/// @brief How a connection ended.
enum class channel_end {
    /// The remote end closed it after its last byte.
    closed,
    /// It was reset or timed out; bytes may be missing.
    broken,
};

/// @brief One TCP connection on the process's event loop.
///
/// Not thread-safe: use it only on the loop's thread. No handler is called after `close` or
/// `abort`. An exception from `on_data` ends this connection as broken and propagates to the loop.
class tcp_channel : public std::enable_shared_from_this<tcp_channel> {
public:
    struct handlers {
        std::function<void(std::string_view)> on_data;
        std::function<void(channel_end)> on_end;
        /// Called when all queued bytes have been sent.
        std::function<void()> on_sent;
        /// Most bytes of the next read; without, as many as the read buffer takes.
        std::function<std::size_t()> read_allowance{};
        /// Whether what arrives may be whole before all is sent, as a response to a request. Bytes
        /// that arrived before a failed write are read then, and a close of the remote end while it
        /// is still being sent to is `broken` if a reset follows. Otherwise a failed write ends the
        /// connection at once.
        bool may_receive_early = false;
    };

    /// @param socket A connected socket; the constructor makes it non-blocking.
    explicit tcp_channel(boost::asio::ip::tcp::socket socket);
    ~tcp_channel();
    tcp_channel(const tcp_channel&) = delete;
    tcp_channel& operator=(const tcp_channel&) = delete;
    tcp_channel(tcp_channel&&) = delete;
    tcp_channel& operator=(tcp_channel&&) = delete;

    /// @brief Connects; the channel is null if that failed or took longer than `limit`.
    static void connect(boost::asio::io_context& loop, const boost::asio::ip::tcp::endpoint& to,
                        base::milliseconds limit,
                        std::function<void(std::shared_ptr<tcp_channel>, std::string)> done);

    /// @brief Replaces the handlers and starts reading if it is not reading already.
    void start(handlers callbacks);

    /// @brief Queues bytes and sends at once as many as the socket accepts.
    void send(std::string_view bytes);
    /// @brief The same without a copy if nothing is queued.
    void send_owned(std::string bytes);

    /// @brief Adds the queued bytes to a count of all responses.
    void count_unsent(std::shared_ptr<response_buffers> all);

    /// @brief Number of queued bytes that are not sent yet.
    [[nodiscard]] std::size_t unsent() const { return m_send_buffer.size(); }

    /// @brief Reads at once what has arrived, and calls `on_data` with it.
    void read_arrived();

    void pause_reading() { m_reading_paused = true; }
    void resume_reading();

    /// @brief Sends the queued bytes, shuts down the sending side and waits briefly for the remote
    /// end to close, so that its unread bytes don't reset the connection.
    void close_after_sent();
    void close();
    /// @brief Resets the connection so that a partial message can't look complete.
    void abort();

    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }

    /// @brief Whether bytes are queued or on their way that the remote end has not acknowledged.
    [[nodiscard]] bool has_unacknowledged();

    /// @brief Whether further bytes can be sent.
    [[nodiscard]] bool is_writable() const { return is_open() && !m_closing; }

    /// @brief Number of bytes that have arrived and are not read yet.
    [[nodiscard]] std::size_t unread() const;

    /// @brief IP address of the remote end; empty if the connection has ended.
    [[nodiscard]] std::string remote_ip() const;

private:
    void wait_readable();
    void on_readable();
    void write_some();
    void on_failed_write();
    void update_count();
    void wait_writable();
    /// Ends the channel as closed when all bytes are acknowledged or no reset comes for some time,
    /// and as broken if one does.
    void confirm_close(int checks_left);
    void end(channel_end reason);
    void begin_linger();

    boost::asio::ip::tcp::socket m_socket;
    handlers m_handlers;
    std::string m_send_buffer;
    /// Null if the queued bytes are not counted.
    std::unique_ptr<held_bytes> m_counted;
    bool m_waiting_read = false;
    bool m_waiting_write = false;
    bool m_reading_paused = false;
    bool m_closing = false;
    bool m_lingering = false;
    /// Set by a failed write, which takes the error off the socket: a later read sees only an end.
    bool m_is_broken = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_TCP_CHANNEL_HPP
