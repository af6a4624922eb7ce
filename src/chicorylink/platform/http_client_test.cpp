#include "chicorylink/platform/http_client.hpp"
#include "chicorylink/platform/http_handlers.hpp"

#include <future>
#include <string>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace chicorylink::platform {
namespace {

using boost::asio::ip::tcp;

/// Answers one request with fixed bytes and then closes the connection.
class one_answer_server {
public:
    explicit one_answer_server(std::string answer)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          m_thread([this, answer = std::move(answer)] { serve(answer); })
    {
    }
    ~one_answer_server() { m_thread.join(); }
    one_answer_server(const one_answer_server&) = delete;
    one_answer_server& operator=(const one_answer_server&) = delete;
    one_answer_server(one_answer_server&&) = delete;
    one_answer_server& operator=(one_answer_server&&) = delete;

    [[nodiscard]] std::string url()
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + "/";
    }

    /// The head of the request; to be read when the call has ended.
    [[nodiscard]] const std::string& received() const { return m_received; }

private:
    void serve(const std::string& answer)
    {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        boost::asio::streambuf buffer;
        boost::system::error_code problem;
        const auto size = boost::asio::read_until(socket, buffer, "\r\n\r\n", problem);
        const auto bytes = buffer.data();
        m_received.assign(boost::asio::buffers_begin(bytes),
                          boost::asio::buffers_begin(bytes) + static_cast<std::ptrdiff_t>(size));
        boost::asio::write(socket, boost::asio::buffer(answer), problem);
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::string m_received;
    std::thread m_thread;
};

struct outcome {
    int status = 0;
    std::string body;
    http_end end;
};

outcome call(const http_request& request)
{
    outcome seen;
    std::promise<void> ended;
    http_client client;
    http_handlers handlers;
    handlers.on_head = [&](int status, const header_list&) { seen.status = status; };
    handlers.on_data = [&](std::string_view piece) {
        seen.body += piece;
        return true;
    };
    handlers.on_end = [&](const http_end& end) {
        seen.end = end;
        ended.set_value();
    };
    client.start(request, std::move(handlers));
    ended.get_future().wait();
    return seen;
}

outcome call_answered_by(const std::string& answer)
{
    one_answer_server server(answer);
    http_request request;
    request.url = server.url();
    return call(request);
}

TEST(http_client, whole_answer_is_passed_on)
{
    const auto seen = call_answered_by("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(seen.end.kind, http_end_kind::complete);
    EXPECT_EQ(seen.status, 200);
    EXPECT_EQ(seen.body, "ok");
}

TEST(http_client, answer_whose_end_is_in_doubt_is_broken_off)
{
    for (const char* head :
         {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 2\r\nContent-Length: 3\r\n",
          "X-Note: a\r\n Content-Length: 9\r\nContent-Length: 2\r\n", "Content-Length : 2\r\n"}) {
        const auto seen =
            call_answered_by(std::string("HTTP/1.1 200 OK\r\n") + head + "\r\n2\r\nok\r\n0\r\n");
        EXPECT_EQ(seen.end.kind, http_end_kind::broken) << head << seen.end.detail;
        EXPECT_TRUE(seen.end.possibly_sent) << head;
        EXPECT_EQ(seen.status, 0) << head;
        EXPECT_EQ(seen.body, "") << head;
    }
}

TEST(http_client, body_without_a_type_is_not_called_a_form)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    http_request request;
    request.method = "POST";
    request.body = "{}";
    {
        one_answer_server server(answer);
        request.url = server.url();
        EXPECT_EQ(call(request).end.kind, http_end_kind::complete);
        EXPECT_EQ(server.received().find("Content-Type"), std::string::npos) << server.received();
    }
    one_answer_server server(answer);
    request.url = server.url();
    request.headers = {{"Content-Type", "application/json"}};
    EXPECT_EQ(call(request).end.kind, http_end_kind::complete);
    EXPECT_NE(server.received().find("Content-Type: application/json"), std::string::npos);
}

} // namespace
} // namespace chicorylink::platform
