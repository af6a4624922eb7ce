#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/message_parser.hpp"
#include "chicorylink/front/upstream_call.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

using tcp = boost::asio::ip::tcp;
using std::chrono::seconds;

constexpr std::size_t head_limit = 4096;
constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr std::string_view body = "0123456789";

/// How a server ends a connection.
enum class ending : std::uint8_t { close, half_close, reset };

struct sample {
    std::string bytes;
    /// Whether the end of the body is that of the connection.
    bool ends_with_connection = false;
};

/// Responses whose framing comes before or behind the fields that identify them.
std::array<sample, 5> samples()
{
    const std::string id = "Id: mine\r\nContent-Type: text/plain\r\n";
    const std::string start = "HTTP/1.1 200 OK\r\n";
    return {{{fmt::format("{}{}Content-Length: 10\r\n\r\n{}", start, id, body)},
             {fmt::format("{}Content-Length: 10\r\n{}\r\n{}", start, id, body)},
             {fmt::format("{}{}Transfer-Encoding: chunked\r\n\r\na\r\n{}\r\n0\r\n\r\n", start, id,
                          body)},
             {fmt::format("{}Transfer-Encoding: chunked\r\n{}\r\na\r\n{}\r\n0\r\nX-Trailer: y"
                          "\r\n\r\n",
                          start, id, body)},
             {fmt::format("{}{}\r\n{}", start, id, body), true}}};
}

std::size_t head_size(const sample& response)
{
    return response.bytes.find(end_of_head) + end_of_head.size();
}

/// Whether the first bytes of a response, followed by a close, are a complete response.
bool is_complete_at(const sample& response, std::size_t size)
{
    return response.ends_with_connection ? size >= head_size(response)
                                         : size == response.bytes.size();
}

/// Server on loopback that serves one connection at a time.
class truncating_server {
public:
    explicit truncating_server(boost::asio::io_context& loop)
        : m_acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}), m_socket(loop)
    {
        accept();
    }

    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }
    [[nodiscard]] int accepted() const { return m_accepted; }

    /// Sets what is sent for the next requests, and how the connection ends behind it, if it does.
    void respond(std::string bytes, std::optional<ending> end)
    {
        m_response = std::move(bytes);
        m_end = end;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code problem, tcp::socket socket) {
            if (!problem) {
                ++m_accepted;
                m_socket = std::move(socket);
                read();
                accept();
            }
        });
    }

    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
                                 [this](boost::system::error_code problem, std::size_t) {
                                     if (!problem) {
                                         send();
                                     }
                                 });
    }

    void send()
    {
        boost::system::error_code ignored;
        boost::asio::write(m_socket, boost::asio::buffer(m_response), ignored);
        if (!m_end) {
            read();
            return;
        }
        if (*m_end == ending::half_close) {
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        if (*m_end == ending::reset) {
            m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        }
        m_socket.close(ignored);
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::array<char, 1024> m_buffer{};
    std::string m_response;
    std::optional<ending> m_end;
    int m_accepted = 0;
};

struct call_result {
    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<upstream_failure> failure;
};

class truncated_response : public testing::Test {
protected:
    call_result call()
    {
        call_result result;
        upstream_request request;
        request.address = m_server.address();
        request.bytes = "POST / HTTP/1.1\r\nHost: h\r\nId: mine\r\nContent-Length: 0\r\n\r\n";
        request.request_id = "mine";
        request.request_id_field = "Id";
        const auto upstream = std::make_shared<upstream_call>(m_pool, request);
        upstream->start({[&](const message_head& head) { result.status = head.status; },
                         [&](std::string_view piece) { result.body.append(piece); },
                         [&] { result.ended = true; },
                         [&](const upstream_failure& failure) { result.failure = failure; }},
                        base::boot_now());
        const auto end = std::chrono::steady_clock::now() + seconds{10};
        m_loop.restart();
        while (!result.ended && !result.failure && std::chrono::steady_clock::now() < end) {
            m_loop.run_one_for(seconds{1});
        }
        return result;
    }

    /// Keeps a connection for the next call, or none.
    void prepare(bool is_kept)
    {
        m_server.respond(fmt::format("HTTP/1.1 200 OK\r\nId: mine\r\n{}Content-Length: 2\r\n\r\nok",
                                     is_kept ? "" : "Connection: close\r\n"),
                         std::nullopt);
        ASSERT_EQ(call().body, "ok");
        ASSERT_EQ(m_pool.has_idle(m_server.address()), is_kept);
    }

    /// Checks a response of which only the first bytes arrive.
    void expect_failure_at(const sample& response, std::size_t size, std::string_view before,
                           ending end)
    {
        m_server.respond(fmt::format("{}{}", before, response.bytes.substr(0, size)), end);
        const auto result = call();
        if (end != ending::reset && is_complete_at(response, size)) {
            EXPECT_TRUE(result.ended);
            EXPECT_EQ(result.body, body.substr(0, size - head_size(response)));
            return;
        }
        EXPECT_FALSE(result.ended);
        ASSERT_TRUE(result.failure);
        EXPECT_TRUE(result.failure->may_have_arrived);
        EXPECT_EQ(result.status, size < head_size(response) ? 0 : 200);
        EXPECT_EQ(result.body, body.substr(0, result.body.size()));
        EXPECT_EQ(m_pool.open_count(m_server.address()), 0U);
    }

    void expect_failure_everywhere(std::string_view before)
    {
        for (const auto end : {ending::close, ending::half_close, ending::reset}) {
            for (const bool is_kept : {false, true}) {
                for (const auto& response : samples()) {
                    // A reset behind the last byte of a response with a length comes too late.
                    const auto sizes =
                        response.bytes.size() + (response.ends_with_connection ? 1 : 0);
                    for (std::size_t size = 0; size < sizes; ++size) {
                        SCOPED_TRACE(fmt::format("{} bytes, end {}, kept {}: {}", size,
                                                 static_cast<int>(end), is_kept, response.bytes));
                        prepare(is_kept);
                        const auto accepted = m_server.accepted();
                        expect_failure_at(response, size, before, end);
                        EXPECT_EQ(m_server.accepted() - accepted, is_kept ? 0 : 1);
                        if (HasFailure()) {
                            return;
                        }
                    }
                }
            }
        }
    }

    boost::asio::io_context m_loop;
    connection_pool m_pool{m_loop};
    truncating_server m_server{m_loop};
};

// Guards against a head that ends with its connection being taken for a complete one, however the
// bytes before were split.
TEST(truncated_head, is_no_head_at_any_byte)
{
    for (const auto& response : samples()) {
        const std::string_view bytes{response.bytes};
        for (std::size_t size = 0; size <= bytes.size(); ++size) {
            for (std::size_t split = 0; split <= size; ++split) {
                SCOPED_TRACE(fmt::format("{} bytes, split at {}: {}", size, split, bytes));
                message_parser parser(message_kind::response, head_limit, std::nullopt);
                parser.feed(bytes.substr(0, split));
                parser.feed(bytes.substr(split, size - split));
                parser.feed_eof();
                ASSERT_EQ(parser.is_complete(), is_complete_at(response, size));
                ASSERT_EQ(parser.problem(),
                          parser.is_complete() ? parse_problem::none : parse_problem::truncated);
                ASSERT_EQ(parser.has_head(), size >= head_size(response));
            }
        }
    }
}

// Guards against a response that breaks off at any byte being passed on as a complete one, or
// being taken for a request that was not sent.
TEST_F(truncated_response, fails_the_call_at_any_byte)
{
    expect_failure_everywhere("");
}

// Guards against an interim response being taken for the response whose head broke off behind it.
TEST_F(truncated_response, fails_the_call_behind_an_interim_response)
{
    expect_failure_everywhere("HTTP/1.1 102 Processing\r\nX-Queue: 4\r\n\r\n");
}

// Guards against the complete response to another request being taken for the one that broke off.
TEST_F(truncated_response, fails_the_call_behind_the_response_to_another_request)
{
    expect_failure_everywhere("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong");
}

} // namespace
} // namespace chicorylink::front
