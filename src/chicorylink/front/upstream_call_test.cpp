#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/upstream_call.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::front {
namespace {

using tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Server on loopback that sends the responses given by the test.
class test_server {
public:
    explicit test_server(boost::asio::io_context& loop)
        : m_acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    /// Accepts a connection and sends the same bytes for each request.
    void respond(const std::string& bytes, bool then_close)
    {
        m_acceptor.async_accept(
            [this, bytes, then_close](boost::system::error_code problem, tcp::socket socket) {
                if (problem) {
                    return;
                }
                ++m_accepted;
                m_channel = std::make_shared<tcp_channel>(std::move(socket));
                m_channel->start({[this, bytes, then_close](std::string_view) {
                                      m_channel->send(bytes);
                                      if (then_close) {
                                          m_channel->close_after_sent();
                                      }
                                  },
                                  [](channel_end) {},
                                  {}});
            });
    }

    /// Accepts a connection and sends the next response for each request.
    void respond_in_turn(const std::vector<std::string>& responses)
    {
        m_acceptor.async_accept(
            [this, responses](boost::system::error_code problem, tcp::socket socket) {
                if (problem) {
                    return;
                }
                ++m_accepted;
                m_channel = std::make_shared<tcp_channel>(std::move(socket));
                const auto next = std::make_shared<std::size_t>(0);
                m_channel->start({[this, responses, next](std::string_view) {
                                      if (*next < responses.size()) {
                                          m_channel->send(responses[(*next)++]);
                                      }
                                  },
                                  [](channel_end) {},
                                  {}});
            });
    }

    [[nodiscard]] int accepted() const { return m_accepted; }
    tcp_channel& channel() { return *m_channel; }

private:
    tcp::acceptor m_acceptor;
    std::shared_ptr<tcp_channel> m_channel;
    int m_accepted = 0;
};

struct call_result {
    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<upstream_failure> failure;
};

class upstream_call_test : public testing::Test {
protected:
    call_result call(const std::string& address, bool force_new_connection = false)
    {
        call_result result;
        upstream_request request;
        request.force_new_connection = force_new_connection;
        request.address = address;
        request.bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: mine\r\n\r\n";
        request.request_id = "mine";
        request.request_id_field = "Id";
        const auto upstream = std::make_shared<upstream_call>(m_pool, request);
        upstream->start({[&](const message_head& head) { result.status = head.status; },
                         [&](std::string_view piece) { result.body.append(piece); },
                         [&] { result.ended = true; },
                         [&](const upstream_failure& failure) { result.failure = failure; }},
                        base::boot_now());
        const auto end = std::chrono::steady_clock::now() + seconds{10};
        while (!result.ended && !result.failure && std::chrono::steady_clock::now() < end) {
            m_loop.restart();
            m_loop.run_for(milliseconds{5});
        }
        return result;
    }

    boost::asio::io_context m_loop;
    connection_pool m_pool{m_loop};
};

TEST_F(upstream_call_test, complete_response_keeps_connection)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_TRUE(m_pool.has_idle(server.address()));
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_EQ(server.accepted(), 1);
}

TEST_F(upstream_call_test, skips_response_to_another_request)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
                   "HTTP/1.1 201 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
                   false);
    const auto result = call(server.address());
    EXPECT_EQ(result.status, 201);
    EXPECT_EQ(result.body, "ok");
}

TEST_F(upstream_call_test, closes_connection_after_response_to_another_request)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
                   "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
                   false);
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_FALSE(m_pool.has_idle(server.address()));
}

TEST_F(upstream_call_test, interim_response_keeps_connection)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 102 Processing\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
                   false);
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_TRUE(m_pool.has_idle(server.address()));
}

// Guards against a late duplicate of an earlier response on a reused connection, without a request
// id, being taken for the response to the current request.
TEST_F(upstream_call_test, rejects_response_without_id_on_reused_connection)
{
    test_server server(m_loop);
    server.respond_in_turn({"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"});
    EXPECT_EQ(call(server.address()).body, "ok");
    const auto second = call(server.address());
    EXPECT_EQ(server.accepted(), 1);
    ASSERT_TRUE(second.failure);
    EXPECT_TRUE(second.failure->may_have_arrived);
    EXPECT_EQ(second.body, "");
}

// Guards against a call without end: the response to another request has no length, and the close
// that completes it is the last event of the connection.
TEST_F(upstream_call_test, response_to_another_request_that_ends_with_the_connection_fails_call)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 503 Full\r\nId: other\r\n\r\nfull", true);
    const auto result = call(server.address());
    ASSERT_TRUE(result.failure);
    EXPECT_TRUE(result.failure->may_have_arrived);
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

// Guards against a status that is none being skipped like that of an interim response: the call
// would take what comes behind it for its response, or wait until its deadline.
TEST_F(upstream_call_test, response_without_a_status_fails_call)
{
    for (const auto* rest : {"", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"}) {
        test_server server(m_loop);
        server.respond(
            fmt::format("HTTP/1.1 000 OK\r\nId: mine\r\nContent-Length: 4\r\n\r\nnone{}", rest),
            false);
        const auto result = call(server.address());
        ASSERT_TRUE(result.failure);
        EXPECT_TRUE(result.failure->may_have_arrived);
        EXPECT_EQ(result.failure->detail, "the answer is not HTTP");
        EXPECT_EQ(result.status, 0);
        EXPECT_EQ(m_pool.open_count(server.address()), 0U);
    }
}

// Guards against the fields of a late duplicate that begins within the head of the next response.
TEST_F(upstream_call_test, response_that_names_two_requests_fails_call)
{
    for (const auto* ids : {"Id: mine\r\nDate: SatHTTP/1.1 503 Full\r\nId: other\r\n",
                            "Id: other\r\nDate: SatHTTP/1.1 200 OK\r\nId: mine\r\n"}) {
        test_server server(m_loop);
        server.respond(fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: 2\r\n\r\nok", ids), false);
        const auto result = call(server.address());
        ASSERT_TRUE(result.failure);
        EXPECT_TRUE(result.failure->may_have_arrived);
        EXPECT_EQ(result.status, 0);
    }
}

// Guards against a response without id behind one to another request, on a new connection.
TEST_F(upstream_call_test, rejects_response_without_id_behind_response_to_another_request)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 503 Full\r\nId: other\r\nContent-Length: 4\r\n\r\nfull"
                   "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull",
                   false);
    const auto result = call(server.address());
    ASSERT_TRUE(result.failure);
    EXPECT_EQ(result.status, 0);
}

TEST_F(upstream_call_test, resend_opens_new_connection)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    EXPECT_EQ(call(server.address()).body, "ok");
    server.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nnew", false);
    EXPECT_EQ(call(server.address(), true).body, "new");
    EXPECT_EQ(server.accepted(), 2);
}

TEST_F(upstream_call_test, fails_after_too_many_unrelated_responses)
{
    test_server server(m_loop);
    std::string unrelated;
    for (int number = 0; number < 20; ++number) {
        unrelated += "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 20000\r\n\r\n" +
                     std::string(20'000, 'x');
    }
    server.respond(unrelated, false);
    const auto result = call(server.address());
    ASSERT_TRUE(result.failure);
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

// An unexpected exception in a handler must end its own connection and nothing else.
TEST_F(upstream_call_test, exception_ends_only_its_connection)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    upstream_request request;
    request.address = server.address();
    request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    request.request_id = "mine";
    request.request_id_field = "Id";
    const auto upstream = std::make_shared<upstream_call>(m_pool, request);
    bool failed = false;
    upstream->start({[](const message_head&) { throw std::runtime_error("unexpected"); },
                     [](std::string_view) {}, [] {},
                     [&](const upstream_failure&) { failed = true; }},
                    base::boot_now());
    EXPECT_THROW(m_loop.run_for(seconds{5}), std::runtime_error);
    EXPECT_TRUE(failed);
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
    test_server other(m_loop);
    other.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    EXPECT_EQ(call(other.address()).body, "ok");
}

TEST_F(upstream_call_test, extra_bytes_after_response_close_connection)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nokextra", false);
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_FALSE(m_pool.has_idle(server.address()));
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

TEST_F(upstream_call_test, truncated_response_may_have_arrived)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 20\r\n\r\nok", true);
    const auto result = call(server.address());
    ASSERT_TRUE(result.failure);
    EXPECT_TRUE(result.failure->may_have_arrived);
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

// Guards against a failure that is reported while the caller still starts the call, when the
// address can't be parsed.
TEST_F(upstream_call_test, a_call_to_no_address_fails_from_the_loop)
{
    for (const auto* address : {"", "10.0.0.1", "10.0.0.1:99999", "host:80", "10.0.0.1:0"}) {
        upstream_request request;
        request.address = address;
        const auto upstream = std::make_shared<upstream_call>(m_pool, request);
        std::optional<upstream_failure> failure;
        upstream->start({{}, {}, {}, [&](const upstream_failure& problem) { failure = problem; }},
                        base::boot_now());
        EXPECT_FALSE(failure) << address;
        m_loop.restart();
        m_loop.run_for(milliseconds{5});
        ASSERT_TRUE(failure) << address;
        EXPECT_FALSE(failure->may_have_arrived);
        EXPECT_EQ(m_pool.open_count(address), 0U);
    }
}

TEST_F(upstream_call_test, refused_connection_is_never_sent_to)
{
    std::string address;
    {
        test_server server(m_loop);
        address = server.address();
    }
    const auto result = call(address);
    ASSERT_TRUE(result.failure);
    EXPECT_FALSE(result.failure->may_have_arrived);
    EXPECT_EQ(m_pool.open_count(address), 0U);
}

// Guards against a crash of the process when expired idle connections are closed.
TEST_F(upstream_call_test, idle_connections_expire)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n"
                   "Keep-Alive: timeout=2\r\n\r\nok",
                   false);
    (void)call(server.address());
    m_pool.tick(base::boot_now() + milliseconds{1000});
    EXPECT_TRUE(m_pool.has_idle(server.address()));
    m_pool.tick(base::boot_now() + milliseconds{1400});
    EXPECT_FALSE(m_pool.has_idle(server.address()));
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

TEST_F(upstream_call_test, unexpected_bytes_close_idle_connection)
{
    test_server server(m_loop);
    server.respond("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    (void)call(server.address());
    server.channel().send("HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 0\r\n\r\n");
    m_loop.restart();
    m_loop.run_for(milliseconds{200});
    EXPECT_FALSE(m_pool.has_idle(server.address()));
}

} // namespace
} // namespace chicorylink::front
