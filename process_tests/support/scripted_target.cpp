#include "scripted_target.hpp"

#include <array>
#include <numeric>
#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace chicorylink::process_tests {
namespace {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::string_view end_of_head = "\r\n\r\n";

/// Bytes of a body that every target reads.
constexpr std::size_t max_short_body = 64UL * 1024;

std::string field_of(const std::string& head, const std::string& name)
{
    const auto begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos) {
        return {};
    }
    const auto value = begin + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

} // namespace

bool scripted_target::http_exchange::send(std::string_view bytes)
{
    error_code problem;
    boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), problem);
    return !problem;
}

bool scripted_target::http_exchange::pause(std::chrono::milliseconds time)
{
    pollfd waiting{m_socket.native_handle(), POLLIN | POLLHUP, 0};
    return ::poll(&waiting, 1, static_cast<int>(time.count())) == 0;
}

void scripted_target::http_exchange::half_close(std::chrono::milliseconds limit)
{
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    (void)pause(limit);
}

std::size_t scripted_target::http_exchange::read_some()
{
    std::array<char, 16UL * 1024> buffer{};
    error_code problem;
    return m_socket.read_some(boost::asio::buffer(buffer), problem);
}

void scripted_target::http_exchange::read_arrived(std::size_t max_bytes)
{
    error_code problem;
    std::size_t count = 0;
    while (count < max_bytes && m_socket.available(problem) > 0) {
        count += read_some();
    }
}

void scripted_target::http_exchange::reset()
{
    error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void scripted_target::http_exchange::close()
{
    error_code ignored;
    m_socket.close(ignored);
}

std::string scripted_target::http_exchange::header(const std::string& name) const
{
    return field_of(m_head, name);
}

std::string scripted_target::http_exchange::path() const
{
    const auto begin = m_head.find(' ') + 1;
    return m_head.substr(begin, m_head.find(' ', begin) - begin);
}

std::string scripted_target::http_exchange::head(const std::string& fields, int status) const
{
    return fmt::format("HTTP/1.1 {} Status\r\nX-Chicorylink-Request-Id: {}\r\n"
                       "X-Chicorylink-Server-Stamp: stamp\r\n{}\r\n",
                       status, id(), fields);
}

std::string scripted_target::http_exchange::response(const std::string& body,
                                                     const std::string& fields, int status) const
{
    return head(fmt::format("{}Content-Length: {}\r\n", fields, body.size()), status) + body;
}

std::string scripted_target::http_exchange::chunk(std::string_view bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

scripted_target::scripted_target(script respond, const std::string& ip, unsigned short port,
                                 body_reading reading)
    : m_respond(std::move(respond)), m_reading(reading),
      m_acceptor(m_io_context, {boost::asio::ip::make_address(ip), port}),
      m_address(fmt::format("{}:{}", ip, m_acceptor.local_endpoint().port())),
      m_accepting([this] { accept(); })
{
}

scripted_target::~scripted_target()
{
    // Shutting down the listener wakes the accepting thread.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_accepting.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& socket : m_sockets) {
            error_code ignored;
            socket->shutdown(tcp::socket::shutdown_both, ignored);
        }
    }
    for (auto& thread : m_threads) {
        thread.join();
    }
}

int scripted_target::request_count(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    return m_request_counts[id];
}

int scripted_target::request_count()
{
    const std::lock_guard lock(m_mutex);
    return std::accumulate(m_request_counts.begin(), m_request_counts.end(), 0,
                           [](int sum, const auto& entry) { return sum + entry.second; });
}

void scripted_target::accept()
{
    while (true) {
        auto socket = std::make_shared<tcp::socket>(m_io_context);
        error_code problem;
        m_acceptor.accept(*socket, problem);
        if (problem) {
            return;
        }
        ++m_connections;
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] { serve(*socket); });
    }
}

void scripted_target::serve(tcp::socket& socket)
{
    std::string buffer;
    for (int request_number = 1;; ++request_number) {
        error_code problem;
        const auto size = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer),
                                                  end_of_head, problem);
        if (problem) {
            return;
        }
        const auto head = buffer.substr(0, size);
        buffer.erase(0, size);
        const auto length = field_of(head, "Content-Length");
        const auto announced = length.empty() ? 0 : std::stoul(length);
        const bool is_read = m_reading == body_reading::whole || announced <= max_short_body;
        const auto body = is_read ? announced : 0;
        if (buffer.size() < body) {
            boost::asio::read(socket, boost::asio::dynamic_buffer(buffer),
                              boost::asio::transfer_exactly(body - buffer.size()), problem);
        }
        if (problem) {
            return;
        }
        buffer.erase(0, body);
        http_exchange exchange(socket, head, request_number);
        {
            const std::lock_guard lock(m_mutex);
            ++m_request_counts[exchange.id()];
        }
        if (!m_respond(exchange) || !is_read) {
            error_code ignored;
            socket.shutdown(tcp::socket::shutdown_both, ignored);
            return;
        }
    }
}

} // namespace chicorylink::process_tests
