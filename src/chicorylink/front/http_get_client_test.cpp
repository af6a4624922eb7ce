#include "chicorylink/front/http_get_client.hpp"
#include "chicorylink/front/tcp_channel.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

using tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds response_limit{300};
/// Shorter than that, but several of them are longer.
constexpr milliseconds piece_interval{200};

class http_get_client_test : public testing::Test {
protected:
    /// Reads from a server on loopback that sends these pieces, one every interval.
    read_result read(const std::vector<std::string>& pieces)
    {
        m_acceptor.async_accept([&](boost::system::error_code problem, tcp::socket socket) {
            if (!problem) {
                m_channel = std::make_shared<tcp_channel>(std::move(socket));
                m_channel->start({[&](std::string_view) { send(pieces, 0); }, {}, {}});
            }
        });
        http_get_client client(m_loop, address());
        return get(client);
    }

    /// Reads from a server on loopback that sends these bytes and closes the connection.
    read_result read_closed(const std::string& bytes)
    {
        m_acceptor.async_accept([&](boost::system::error_code problem, tcp::socket socket) {
            if (!problem) {
                m_channel = std::make_shared<tcp_channel>(std::move(socket));
                m_channel->start({[&](std::string_view) {
                                      m_channel->send(bytes);
                                      m_channel->close_after_sent();
                                  },
                                  {},
                                  {}});
            }
        });
        http_get_client client(m_loop, address());
        return get(client);
    }

    /// Reads from a server on loopback that sends these bytes and resets the connection.
    read_result read_reset(const std::string& bytes)
    {
        m_acceptor.async_accept([&](boost::system::error_code problem, tcp::socket socket) {
            if (!problem) {
                m_channel = std::make_shared<tcp_channel>(std::move(socket));
                m_channel->start({[&](std::string_view) {
                                      m_channel->send(bytes);
                                      m_channel->abort();
                                  },
                                  {},
                                  {}});
            }
        });
        http_get_client client(m_loop, address());
        return get(client);
    }

    /// Reads two responses.
    /// @param first What a server sends for the requests on its first connection.
    /// @param second The same for another connection.
    std::pair<read_result, read_result> read_twice(const std::vector<std::string>& first,
                                                   const std::vector<std::string>& second)
    {
        accept(first);
        http_get_client client(m_loop, address());
        auto before = get(client);
        accept(second);
        auto after = get(client);
        return {std::move(before), std::move(after)};
    }

private:
    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    void accept(const std::vector<std::string>& responses)
    {
        m_acceptor.async_accept([&](boost::system::error_code problem, tcp::socket socket) {
            if (!problem) {
                m_channel = std::make_shared<tcp_channel>(std::move(socket));
                const auto next = std::make_shared<std::size_t>(0);
                m_channel->start({[this, &responses, next](std::string_view) {
                                      if (*next < responses.size()) {
                                          m_channel->send(responses[(*next)++]);
                                      }
                                  },
                                  {},
                                  {}});
            }
        });
    }

    read_result get(http_get_client& client)
    {
        std::optional<read_result> result;
        client.get("/x", response_limit, [&](const read_result& read) { result = read; });
        const auto end = std::chrono::steady_clock::now() + seconds{10};
        while (!result && std::chrono::steady_clock::now() < end) {
            m_loop.restart();
            m_loop.run_for(milliseconds{5});
        }
        m_timer.cancel();
        return result.value_or(read_result{});
    }

    void send(const std::vector<std::string>& pieces, std::size_t next)
    {
        if (next == pieces.size()) {
            return;
        }
        m_channel->send(pieces[next]);
        m_timer.expires_after(piece_interval);
        m_timer.async_wait([this, &pieces, next](boost::system::error_code stopped) {
            if (!stopped) {
                send(pieces, next + 1);
            }
        });
    }

    boost::asio::io_context m_loop;
    tcp::acceptor m_acceptor{m_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    boost::asio::steady_timer m_timer{m_loop};
    std::shared_ptr<tcp_channel> m_channel;
};

// Guards against a store whose large responses are given up again and again, because a body on a
// slow link takes longer than a response may take to begin.
TEST_F(http_get_client_test, a_body_that_keeps_arriving_is_read_to_its_end)
{
    const auto result = read({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "a", "b", "c", "d"});
    EXPECT_EQ(result.status, 200) << result.problem;
    EXPECT_EQ(result.body, "abcd");
}

// Guards against a read that never ends, because its body stalls.
TEST_F(http_get_client_test, a_body_that_stalls_is_given_up)
{
    const auto result = read({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "a"});
    EXPECT_EQ(result.status, 0);
    EXPECT_EQ(result.problem, "no answer in time");
}

// Guards against a read that never ends, because its body arrives too slowly.
TEST_F(http_get_client_test, a_body_that_takes_too_long_is_given_up)
{
    std::vector<std::string> pieces(40, "a");
    pieces.front() = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
    EXPECT_EQ(read(pieces).status, 0);
}

// Guards against a reader that asks for the same response without end, because it can't tell one
// that is too large from one that is late.
TEST_F(http_get_client_test, a_response_that_is_too_large_is_unreadable)
{
    const auto result = read({"HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n"});
    EXPECT_EQ(result.status, 0);
    EXPECT_TRUE(result.is_unreadable);
}

// Guards against a response that is none being taken for one, or being asked for again and again.
TEST_F(http_get_client_test, a_response_with_a_broken_head_is_unreadable)
{
    for (const auto* start : {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nBad Name: x\r\n",
                              "HTTP/1.1 200 OK\r\nBad\x01Name: x\r\n"}) {
        const auto result = read({fmt::format("{}Content-Length: 4\r\n\r\nbody", start)});
        EXPECT_EQ(result.status, 0) << start;
        EXPECT_EQ(result.body, "") << start;
        EXPECT_TRUE(result.is_unreadable) << start;
        EXPECT_EQ(result.problem, "the answer is not HTTP or is too large") << start;
    }
}

// Guards against a part of a response being taken for the whole, because the connection was reset.
TEST_F(http_get_client_test, a_response_that_ends_with_a_reset_fails)
{
    constexpr int tries = 100;
    for (int number = 0; number < tries; ++number) {
        for (const auto* length : {"", "Content-Length: 20\r\n"}) {
            const auto result = read_reset(fmt::format("HTTP/1.1 200 OK\r\n{}\r\nbody", length));
            ASSERT_EQ(result.status, 0) << number;
            ASSERT_EQ(result.body, "") << number;
        }
    }
}

// Guards against the rest of a second response being taken for the response to the next request.
TEST_F(http_get_client_test, bytes_behind_a_response_close_the_connection)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    const auto half = response.size() / 2;
    const auto results =
        read_twice({response + response.substr(0, half), response.substr(half) + response},
                   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext"});
    EXPECT_EQ(results.first.body, "first");
    EXPECT_EQ(results.second.status, 200) << results.second.problem;
    EXPECT_EQ(results.second.body, "next");
}

// Guards against a response that broke off within its head or body being taken for a complete one.
TEST_F(http_get_client_test, a_response_that_breaks_off_at_any_byte_fails)
{
    const std::string start = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n";
    for (const auto& response :
         {start + "Content-Length: 4\r\n\r\nbody",
          start + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", start + "\r\nbody"}) {
        for (std::size_t size = 1; size < response.size(); ++size) {
            const auto result = read_closed(response.substr(0, size));
            ASSERT_EQ(result.status, 0) << size << " bytes of " << response;
            ASSERT_EQ(result.problem, "the connection ended");
        }
    }
}

} // namespace
} // namespace chicorylink::front
