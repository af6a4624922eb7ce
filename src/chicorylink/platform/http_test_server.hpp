#ifndef CHICORYLINK_PLATFORM_HTTP_TEST_SERVER_HPP
#define CHICORYLINK_PLATFORM_HTTP_TEST_SERVER_HPP

#include "chicorylink/platform/http_client.hpp"
#include "chicorylink/platform/http_handlers.hpp"

#include <array>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace chicorylink::platform {

/// @brief A server on loopback whose script responds to one request, behind its head, and which
/// then closes the connection.
class http_test_server {
public:
    using tcp = boost::asio::ip::tcp;
    using socket = tcp::socket;
    using script = std::function<void(socket&)>;

    explicit http_test_server(script respond)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          m_thread([this, respond = std::move(respond)] { serve(respond); })
    {
    }
    ~http_test_server() { m_thread.join(); }
    http_test_server(const http_test_server&) = delete;
    http_test_server& operator=(const http_test_server&) = delete;
    http_test_server(http_test_server&&) = delete;
    http_test_server& operator=(http_test_server&&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] std::string url() const { return "http://" + address() + "/"; }

    /// @brief The head of the request; valid after the call has ended.
    [[nodiscard]] const std::string& received() const { return m_received; }

    static void send(socket& peer, std::string_view bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(peer, boost::asio::buffer(bytes.data(), bytes.size()), ignored);
    }

    /// @brief Reads some bytes of the request's body.
    /// @return Their number; zero at the connection's end.
    static std::size_t read_some(socket& peer)
    {
        std::array<char, 16UL * 1024> buffer{};
        boost::system::error_code problem;
        return peer.read_some(boost::asio::buffer(buffer), problem);
    }

    /// @brief Reads what has arrived, about `max_bytes` at most.
    static void read_arrived(socket& peer, std::size_t max_bytes)
    {
        boost::system::error_code problem;
        std::size_t count = 0;
        while (count < max_bytes && peer.available(problem) > 0) {
            count += read_some(peer);
        }
    }

    /// @brief Closes the connection as the end of a process does: with a reset if bytes are unread,
    /// else in the ordinary way, and with a reset for further bytes.
    static void close(socket& peer)
    {
        boost::system::error_code ignored;
        peer.close(ignored);
    }

    static void half_close(socket& peer)
    {
        boost::system::error_code ignored;
        peer.shutdown(socket::shutdown_send, ignored);
    }

    static void reset(socket& peer)
    {
        boost::system::error_code ignored;
        peer.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        peer.close(ignored);
    }

private:
    void serve(const script& respond)
    {
        socket peer(m_context);
        m_acceptor.accept(peer);
        boost::asio::streambuf buffer;
        boost::system::error_code problem;
        const auto size = boost::asio::read_until(peer, buffer, "\r\n\r\n", problem);
        const auto bytes = buffer.data();
        m_received.assign(boost::asio::buffers_begin(bytes),
                          boost::asio::buffers_begin(bytes) + static_cast<std::ptrdiff_t>(size));
        respond(peer);
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::string m_received;
    std::thread m_thread;
};

/// @brief A script that sends fixed bytes.
inline http_test_server::script respond(std::string response)
{
    return [response = std::move(response)](http_test_server::socket& peer) {
        http_test_server::send(peer, response);
    };
}

/// @brief What a call delivered.
struct outcome {
    int status = 0;
    std::string body;
    http_end end;
};

inline outcome call(http_client& client, const http_request& request)
{
    outcome result;
    std::promise<void> ended;
    http_handlers handlers;
    handlers.on_head = [&](int status, const header_list&) { result.status = status; };
    handlers.on_data = [&](std::string_view piece) {
        result.body += piece;
        return true;
    };
    handlers.on_end = [&](const http_end& end) {
        result.end = end;
        ended.set_value();
    };
    client.start(request, std::move(handlers));
    ended.get_future().wait();
    return result;
}

inline outcome call(const http_request& request)
{
    http_client client;
    return call(client, request);
}

inline outcome call_with_response(const std::string& response)
{
    http_test_server server(respond(response));
    http_request request;
    request.url = server.url();
    return call(request);
}

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HTTP_TEST_SERVER_HPP
