#include "scripted_target.hpp"

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

bool scripted_target::visit::send(std::string_view bytes)
{
    error_code problem;
    boost::asio::write(m_socket, boost::asio::buffer(bytes.data(), bytes.size()), problem);
    return !problem;
}

bool scripted_target::visit::pause(std::chrono::milliseconds time)
{
    pollfd waiting{m_socket.native_handle(), POLLIN | POLLHUP, 0};
    return ::poll(&waiting, 1, static_cast<int>(time.count())) == 0;
}

std::string scripted_target::visit::header(const std::string& name) const
{
    return field_of(m_head, name);
}

std::string scripted_target::visit::path() const
{
    const auto begin = m_head.find(' ') + 1;
    return m_head.substr(begin, m_head.find(' ', begin) - begin);
}

std::string scripted_target::visit::head(const std::string& fields, int status) const
{
    return fmt::format("HTTP/1.1 {} Status\r\nX-Chicorylink-Request-Id: {}\r\n"
                       "X-Chicorylink-Server-Stamp: stamp\r\n{}\r\n",
                       status, id(), fields);
}

std::string scripted_target::visit::answer(const std::string& body, const std::string& fields,
                                           int status) const
{
    return head(fmt::format("{}Content-Length: {}\r\n", fields, body.size()), status) + body;
}

std::string scripted_target::visit::chunk(std::string_view bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

scripted_target::scripted_target(script answer)
    : m_answer(std::move(answer)),
      m_acceptor(m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
      m_address(fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port())),
      m_accepting([this] { accept(); })
{
}

scripted_target::~scripted_target()
{
    // Shutting a listener down wakes the thread that accepts.
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

int scripted_target::arrivals(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals[id];
}

int scripted_target::arrivals()
{
    const std::lock_guard lock(m_mutex);
    return std::accumulate(m_arrivals.begin(), m_arrivals.end(), 0,
                           [](int sum, const auto& entry) { return sum + entry.second; });
}

void scripted_target::accept()
{
    while (true) {
        auto socket = std::make_shared<tcp::socket>(m_loop);
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
    for (int turn = 1;; ++turn) {
        error_code problem;
        const auto size = boost::asio::read_until(socket, boost::asio::dynamic_buffer(buffer),
                                                  end_of_head, problem);
        if (problem) {
            return;
        }
        const auto head = buffer.substr(0, size);
        buffer.erase(0, size);
        const auto length = field_of(head, "Content-Length");
        const auto body = length.empty() ? 0 : std::stoul(length);
        if (buffer.size() < body) {
            boost::asio::read(socket, boost::asio::dynamic_buffer(buffer),
                              boost::asio::transfer_exactly(body - buffer.size()), problem);
        }
        if (problem) {
            return;
        }
        buffer.erase(0, body);
        visit one(socket, head, turn);
        {
            const std::lock_guard lock(m_mutex);
            ++m_arrivals[one.id()];
        }
        if (!m_answer(one)) {
            error_code ignored;
            socket.shutdown(tcp::socket::shutdown_both, ignored);
            return;
        }
    }
}

} // namespace chicorylink::process_tests
