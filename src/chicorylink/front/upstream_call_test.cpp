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

/// Listens on loopback; a test writes what the other side answers.
class other_side {
public:
    explicit other_side(boost::asio::io_context& loop)
        : m_acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port());
    }

    /// Accepts a connection and sends bytes at each request that it gets.
    void answer(const std::string& bytes, bool then_close)
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

    /// Accepts a connection and answers its requests one after the other.
    void answer_by_turns(const std::vector<std::string>& answers)
    {
        m_acceptor.async_accept(
            [this, answers](boost::system::error_code problem, tcp::socket socket) {
                if (problem) {
                    return;
                }
                ++m_accepted;
                m_channel = std::make_shared<tcp_channel>(std::move(socket));
                const auto turn = std::make_shared<std::size_t>(0);
                m_channel->start({[this, answers, turn](std::string_view) {
                                      if (*turn < answers.size()) {
                                          m_channel->send(answers[(*turn)++]);
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

struct outcome {
    int status = 0;
    std::string body;
    bool ended = false;
    std::optional<upstream_failure> failure;
};

class upstream_call_test : public testing::Test {
protected:
    outcome call(const std::string& address, bool on_new_connection = false)
    {
        outcome seen;
        upstream_request request;
        request.on_new_connection = on_new_connection;
        request.address = address;
        request.bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: mine\r\n\r\n";
        request.request_id = "mine";
        request.request_id_field = "Id";
        const auto one = std::make_shared<upstream_call>(m_pool, request);
        one->start({[&](const message_head& head) { seen.status = head.status; },
                    [&](std::string_view piece) { seen.body.append(piece); },
                    [&] { seen.ended = true; },
                    [&](const upstream_failure& failure) { seen.failure = failure; }},
                   base::boot_now());
        const auto end = std::chrono::steady_clock::now() + seconds{10};
        while (!seen.ended && !seen.failure && std::chrono::steady_clock::now() < end) {
            m_loop.restart();
            m_loop.run_for(milliseconds{5});
        }
        return seen;
    }

    boost::asio::io_context m_loop;
    connection_pool m_pool{m_loop};
};

TEST_F(upstream_call_test, a_whole_answer_keeps_the_connection)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_TRUE(m_pool.has_kept(server.address()));
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_EQ(server.accepted(), 1);
}

TEST_F(upstream_call_test, an_answer_to_another_request_is_skipped)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
                  "HTTP/1.1 201 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
                  false);
    const auto seen = call(server.address());
    EXPECT_EQ(seen.status, 201);
    EXPECT_EQ(seen.body, "ok");
}

TEST_F(upstream_call_test, a_connection_that_said_another_answer_is_not_kept)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
                  "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
                  false);
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_FALSE(m_pool.has_kept(server.address()));
}

TEST_F(upstream_call_test, an_interim_answer_costs_nothing)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 102 Processing\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
                  false);
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_TRUE(m_pool.has_kept(server.address()));
}

// A second copy of an answer that came late on a used connection, without the id of its request.
TEST_F(upstream_call_test, an_answer_without_id_on_a_used_connection_is_not_taken)
{
    other_side server(m_loop);
    server.answer_by_turns({"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"});
    EXPECT_EQ(call(server.address()).body, "ok");
    const auto second = call(server.address());
    EXPECT_EQ(server.accepted(), 1);
    ASSERT_TRUE(second.failure);
    EXPECT_TRUE(second.failure->may_have_arrived);
    EXPECT_EQ(second.body, "");
}

TEST_F(upstream_call_test, a_second_send_of_a_request_opens_a_connection_of_its_own)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    EXPECT_EQ(call(server.address()).body, "ok");
    server.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 3\r\n\r\nnew", false);
    EXPECT_EQ(call(server.address(), true).body, "new");
    EXPECT_EQ(server.accepted(), 2);
}

TEST_F(upstream_call_test, answers_to_others_without_end_are_given_up)
{
    other_side server(m_loop);
    std::string many;
    for (int number = 0; number < 20; ++number) {
        many += "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 20000\r\n\r\n" +
                std::string(20'000, 'x');
    }
    server.answer(many, false);
    const auto seen = call(server.address());
    ASSERT_TRUE(seen.failure);
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

// An unexpected error in the work on one connection ends that connection and nothing else.
TEST_F(upstream_call_test, an_exception_ends_its_connection_only)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    upstream_request request;
    request.address = server.address();
    request.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    request.request_id = "mine";
    request.request_id_field = "Id";
    const auto one = std::make_shared<upstream_call>(m_pool, request);
    bool failed = false;
    one->start({[](const message_head&) { throw std::runtime_error("unexpected"); },
                [](std::string_view) {}, [] {}, [&](const upstream_failure&) { failed = true; }},
               base::boot_now());
    EXPECT_THROW(m_loop.run_for(seconds{5}), std::runtime_error);
    EXPECT_TRUE(failed);
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
    other_side other(m_loop);
    other.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    EXPECT_EQ(call(other.address()).body, "ok");
}

TEST_F(upstream_call_test, bytes_behind_an_answer_cost_the_connection)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nokextra", false);
    EXPECT_EQ(call(server.address()).body, "ok");
    EXPECT_FALSE(m_pool.has_kept(server.address()));
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

TEST_F(upstream_call_test, a_cut_answer_may_have_run)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 20\r\n\r\nok", true);
    const auto seen = call(server.address());
    ASSERT_TRUE(seen.failure);
    EXPECT_TRUE(seen.failure->may_have_arrived);
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

TEST_F(upstream_call_test, a_refused_connection_was_not_sent_to)
{
    std::string address;
    {
        other_side server(m_loop);
        address = server.address();
    }
    const auto seen = call(address);
    ASSERT_TRUE(seen.failure);
    EXPECT_FALSE(seen.failure->may_have_arrived);
    EXPECT_EQ(m_pool.open_count(address), 0U);
}

// First run of quiet-1: closing expired connections ended the process.
TEST_F(upstream_call_test, kept_connections_expire)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n"
                  "Keep-Alive: timeout=2\r\n\r\nok",
                  false);
    (void)call(server.address());
    m_pool.tick(base::boot_now() + milliseconds{1000});
    EXPECT_TRUE(m_pool.has_kept(server.address()));
    m_pool.tick(base::boot_now() + milliseconds{1400});
    EXPECT_FALSE(m_pool.has_kept(server.address()));
    EXPECT_EQ(m_pool.open_count(server.address()), 0U);
}

TEST_F(upstream_call_test, bytes_on_an_idle_connection_cost_it)
{
    other_side server(m_loop);
    server.answer("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok", false);
    (void)call(server.address());
    server.channel().send("HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: 0\r\n\r\n");
    m_loop.restart();
    m_loop.run_for(milliseconds{200});
    EXPECT_FALSE(m_pool.has_kept(server.address()));
}

} // namespace
} // namespace chicorylink::front
