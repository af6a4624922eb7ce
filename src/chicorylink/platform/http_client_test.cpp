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

/// Responds to one request with fixed bytes and then closes the connection.
class single_response_server {
public:
    explicit single_response_server(std::string response)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
          m_thread([this, response = std::move(response)] { serve(response); })
    {
    }
    ~single_response_server() { m_thread.join(); }
    single_response_server(const single_response_server&) = delete;
    single_response_server& operator=(const single_response_server&) = delete;
    single_response_server(single_response_server&&) = delete;
    single_response_server& operator=(single_response_server&&) = delete;

    [[nodiscard]] std::string url()
    {
        return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()) + "/";
    }

    /// The head of the request; valid after the call has ended.
    [[nodiscard]] const std::string& received() const { return m_received; }

private:
    void serve(const std::string& response)
    {
        tcp::socket socket(m_context);
        m_acceptor.accept(socket);
        boost::asio::streambuf buffer;
        boost::system::error_code problem;
        const auto size = boost::asio::read_until(socket, buffer, "\r\n\r\n", problem);
        const auto bytes = buffer.data();
        m_received.assign(boost::asio::buffers_begin(bytes),
                          boost::asio::buffers_begin(bytes) + static_cast<std::ptrdiff_t>(size));
        boost::asio::write(socket, boost::asio::buffer(response), problem);
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
    outcome result;
    std::promise<void> ended;
    http_client client;
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

outcome call_with_response(const std::string& response)
{
    single_response_server server(response);
    http_request request;
    request.url = server.url();
    return call(request);
}

TEST(http_client, complete_response_is_delivered)
{
    const auto result = call_with_response("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(result.end.kind, http_end_kind::complete);
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "ok");
}

TEST(http_client, response_with_ambiguous_length_is_aborted)
{
    for (const char* head :
         {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 2\r\nContent-Length: 3\r\n",
          "X-Note: a\r\n Content-Length: 9\r\nContent-Length: 2\r\n", "Content-Length : 2\r\n"}) {
        const auto result =
            call_with_response(std::string("HTTP/1.1 200 OK\r\n") + head + "\r\n2\r\nok\r\n0\r\n");
        EXPECT_EQ(result.end.kind, http_end_kind::broken) << head << result.end.detail;
        EXPECT_TRUE(result.end.possibly_sent) << head;
        EXPECT_EQ(result.status, 0) << head;
        EXPECT_EQ(result.body, "") << head;
    }
}

TEST(http_client, post_without_content_type_is_not_sent_as_form)
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    http_request request;
    request.method = "POST";
    request.body = "{}";
    {
        single_response_server server(response);
        request.url = server.url();
        EXPECT_EQ(call(request).end.kind, http_end_kind::complete);
        EXPECT_EQ(server.received().find("Content-Type"), std::string::npos) << server.received();
    }
    single_response_server server(response);
    request.url = server.url();
    request.headers = {{"Content-Type", "application/json"}};
    EXPECT_EQ(call(request).end.kind, http_end_kind::complete);
    EXPECT_NE(server.received().find("Content-Type: application/json"), std::string::npos);
}

} // namespace
} // namespace chicorylink::platform
