#include "chicorylink/front/tcp_channel.hpp"

#include "chicorylink/front/free_if_empty.hpp"
#include "chicorylink/front/held_bytes.hpp"
#include "chicorylink/front/response_buffers.hpp"

#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicorylink::front {
namespace {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

/// Bytes per read: the largest TCP window on the users' links.
constexpr std::size_t read_buffer_bytes = 64UL * 1024;

/// How long to wait for the remote end to close after the last byte was sent.
constexpr base::milliseconds linger_timeout{1000};

/// A process that is gone answers further bytes with a reset, within a round trip to the farthest
/// region and some retransmissions. One that only stopped sending goes on reading.
constexpr base::milliseconds close_check_interval{5};
constexpr int max_close_checks = 100;

/// A connection to a machine that is gone ends after this time, by unacknowledged data or by
/// keepalive probes. The kernel's default timeouts are minutes.
constexpr int user_timeout_ms = 4000;
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;

/// Shared by all connections, because the loop has one thread.
std::array<char, read_buffer_bytes>& read_buffer()
{
    static std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

void set_options(tcp::socket& socket)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::no_delay(true), ignored);
    const int on = 1;
    const int descriptor = socket.native_handle();
    // Errors are ignored: without these options a dead peer is only detected later.
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof(int));
    ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(int));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_idle_s, sizeof(int));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_interval_s, sizeof(int));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &keepalive_probes, sizeof(int));
}

struct pending_connect {
    explicit pending_connect(boost::asio::io_context& loop) : socket(loop), timer(loop) {}
    tcp::socket socket;
    boost::asio::steady_timer timer;
};

} // namespace

tcp_channel::tcp_channel(tcp::socket socket) : m_socket(std::move(socket))
{
    set_options(m_socket);
}

tcp_channel::~tcp_channel() = default;

void tcp_channel::count_unsent(std::shared_ptr<response_buffers> all)
{
    m_counted = std::make_unique<held_bytes>(std::move(all));
    update_count();
}

void tcp_channel::update_count()
{
    if (m_counted) {
        m_counted->set(m_send_buffer.size());
    }
}

void tcp_channel::connect(boost::asio::io_context& loop, const tcp::endpoint& to,
                          base::milliseconds limit,
                          std::function<void(std::shared_ptr<tcp_channel>, std::string)> done)
{
    auto pending = std::make_shared<pending_connect>(loop);
    pending->timer.expires_after(limit);
    pending->timer.async_wait([pending](error_code stopped) {
        if (!stopped) {
            error_code ignored;
            pending->socket.close(ignored);
        }
    });
    pending->socket.async_connect(to, [pending, done = std::move(done)](error_code problem) {
        pending->timer.cancel();
        if (problem || !pending->socket.is_open()) {
            done(nullptr, problem ? problem.message() : "no connection in time");
            return;
        }
        done(std::make_shared<tcp_channel>(std::move(pending->socket)), {});
    });
}

void tcp_channel::start(handlers callbacks)
{
    m_handlers = std::move(callbacks);
    m_reading_paused = false;
    wait_readable();
}

void tcp_channel::wait_readable()
{
    if (m_waiting_read || m_reading_paused || !m_socket.is_open()) {
        return;
    }
    m_waiting_read = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code problem) {
        self->m_waiting_read = false;
        if (!problem) {
            self->on_readable();
        }
    });
}

void tcp_channel::on_readable()
{
    if (!m_socket.is_open() || m_reading_paused) {
        return;
    }
    error_code problem;
    auto& buffer = read_buffer();
    const auto allowed = m_handlers.read_allowance ? m_handlers.read_allowance() : buffer.size();
    const auto count = m_socket.read_some(boost::asio::buffer(buffer, allowed), problem);
    if (problem == boost::asio::error::would_block) {
        wait_readable();
        return;
    }
    if (problem) {
        if (problem == boost::asio::error::eof && !m_is_broken) {
            confirm_close(m_handlers.may_receive_early ? max_close_checks : 0);
        }
        else {
            end(channel_end::broken);
        }
        return;
    }
    if (m_lingering) {
        wait_readable();
        return;
    }
    if (m_handlers.on_data) {
        // Copied, because the handler may replace the handlers while it runs.
        const auto on_data = m_handlers.on_data;
        try {
            on_data(std::string_view{buffer.data(), count});
        }
        catch (...) {
            end(channel_end::broken);
            throw;
        }
    }
    wait_readable();
}

void tcp_channel::read_arrived()
{
    if (unread() > 0) {
        on_readable();
    }
}

void tcp_channel::resume_reading()
{
    m_reading_paused = false;
    wait_readable();
}

void tcp_channel::send(std::string_view bytes)
{
    if (!m_socket.is_open() || m_closing) {
        return;
    }
    m_send_buffer.append(bytes);
    if (m_waiting_write) {
        update_count();
    }
    else {
        write_some();
    }
}

void tcp_channel::send_owned(std::string bytes)
{
    if (!m_send_buffer.empty()) {
        send(std::string_view{bytes});
        return;
    }
    if (m_socket.is_open() && !m_closing) {
        m_send_buffer = std::move(bytes);
        write_some();
    }
}

void tcp_channel::write_some()
{
    error_code problem;
    const auto count = m_socket.write_some(boost::asio::buffer(m_send_buffer), problem);
    if (problem && problem != boost::asio::error::would_block) {
        on_failed_write();
        return;
    }
    m_send_buffer.erase(0, count);
    update_count();
    if (!m_send_buffer.empty()) {
        wait_writable();
        return;
    }
    free_if_empty(m_send_buffer);
    if (m_closing) {
        begin_linger();
    }
}

void tcp_channel::on_failed_write()
{
    m_send_buffer.clear();
    update_count();
    m_closing = true;
    m_is_broken = true;
    if (m_handlers.may_receive_early) {
        wait_readable();
        return;
    }
    // The end is reported from the loop, because the code that sends is still running.
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code) {
        if (self->m_socket.is_open()) {
            self->end(channel_end::broken);
        }
    });
}

void tcp_channel::wait_writable()
{
    m_waiting_write = true;
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code problem) {
        self->m_waiting_write = false;
        if (problem || !self->m_socket.is_open()) {
            return;
        }
        self->write_some();
        if (self->m_send_buffer.empty() && self->m_handlers.on_sent) {
            const auto on_sent = self->m_handlers.on_sent;
            on_sent();
        }
    });
}

bool tcp_channel::has_unacknowledged()
{
    int count = 0;
    // SIOCOUTQ: bytes in the kernel that the remote end has not acknowledged.
    return !m_send_buffer.empty() ||
           (::ioctl(m_socket.native_handle(), SIOCOUTQ, &count) == 0 && count > 0);
}

void tcp_channel::confirm_close(int checks_left)
{
    int pending = 0;
    socklen_t size = sizeof(pending);
    ::getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size);
    if (m_is_broken || pending != 0) {
        end(channel_end::broken);
        return;
    }
    if (checks_left == 0 || !has_unacknowledged()) {
        end(channel_end::closed);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_socket.get_executor());
    timer->expires_after(close_check_interval);
    timer->async_wait([self = shared_from_this(), timer, checks_left](error_code) {
        if (self->m_socket.is_open()) {
            self->confirm_close(checks_left - 1);
        }
    });
}

void tcp_channel::end(channel_end reason)
{
    const auto on_end = std::move(m_handlers.on_end);
    close();
    if (on_end) {
        on_end(reason);
    }
}

void tcp_channel::close_after_sent()
{
    if (!m_socket.is_open() || m_closing) {
        return;
    }
    m_handlers = {};
    m_closing = true;
    if (m_send_buffer.empty()) {
        begin_linger();
    }
}

void tcp_channel::begin_linger()
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_lingering = true;
    m_reading_paused = false;
    auto timer = std::make_shared<boost::asio::steady_timer>(m_socket.get_executor());
    timer->expires_after(linger_timeout);
    timer->async_wait([self = shared_from_this(), timer](error_code) { self->close(); });
    wait_readable();
}

void tcp_channel::close()
{
    m_handlers = {};
    m_counted = nullptr;
    error_code ignored;
    m_socket.close(ignored);
}

std::size_t tcp_channel::unread() const
{
    error_code problem;
    const auto count = m_socket.is_open() ? m_socket.available(problem) : 0;
    return problem ? 0 : count;
}

std::string tcp_channel::remote_ip() const
{
    error_code problem;
    const auto from = m_socket.remote_endpoint(problem);
    return problem ? std::string{} : from.address().to_string();
}

void tcp_channel::abort()
{
    error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

} // namespace chicorylink::front
