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

/// @brief How a connection ended.
enum class channel_end {
    /// The other side closed it after its last byte.
    closed,
    /// It was reset or timed out; bytes may be missing.
    broken,
};

/// @brief One TCP connection on the loop of the process.
///
/// All members are called on the loop's thread. No handler is called after `close` or `abort`. An
/// exception of `on_data` ends this connection as broken and goes on to the loop.
class tcp_channel : public std::enable_shared_from_this<tcp_channel> {
public:
    struct handlers {
        std::function<void(std::string_view)> on_data;
        std::function<void(channel_end)> on_end;
        /// All bytes that were queued are sent.
        std::function<void()> on_sent;
    };

    /// @param socket Connected; set to non-blocking here.
    explicit tcp_channel(boost::asio::ip::tcp::socket socket);
    ~tcp_channel() = default;
    tcp_channel(const tcp_channel&) = delete;
    tcp_channel& operator=(const tcp_channel&) = delete;
    tcp_channel(tcp_channel&&) = delete;
    tcp_channel& operator=(tcp_channel&&) = delete;

    /// @brief Connects; the result is null when that failed or took longer than `limit`.
    static void connect(boost::asio::io_context& loop, const boost::asio::ip::tcp::endpoint& to,
                        base::milliseconds limit,
                        std::function<void(std::shared_ptr<tcp_channel>, std::string)> done);

    /// @brief Replaces the handlers and begins to read when it has not begun yet.
    void start(handlers to);

    /// @brief Queues bytes; sends at once what the connection takes.
    void send(std::string_view bytes);

    /// @brief Bytes that are queued and not sent.
    [[nodiscard]] std::size_t unsent() const { return m_out.size(); }

    void pause_reading() { m_paused = true; }
    void resume_reading();

    /// @brief Sends what is queued, ends this side, and waits shortly for the other side's end, so
    /// that bytes of it that were not read don't reset the connection.
    void close_after_sent();
    void close();
    /// @brief Resets the connection, so that what was sent can't look complete.
    void abort();

    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }

    /// @brief IP number of the other side; empty when the connection has ended.
    [[nodiscard]] std::string remote_ip() const;

private:
    void wait_readable();
    void read_ready();
    void write_some();
    void wait_writable();
    void end(channel_end how);
    void begin_linger();

    boost::asio::ip::tcp::socket m_socket;
    handlers m_handlers;
    std::string m_out;
    bool m_waiting_read = false;
    bool m_waiting_write = false;
    bool m_paused = false;
    bool m_closing = false;
    bool m_lingering = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_TCP_CHANNEL_HPP
