// A VM that has as many connections of callers as it can bear goes on serving, and refuses what it
// can't serve.

#include "scripted_vm.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

/// So little memory has places for 512 connections.
constexpr long memory_mb = 16;
constexpr int place_count = 512;
constexpr int newcomer_count = 60;

/// A caller's connection on which bytes are sent as the test says.
class raw_caller {
public:
    explicit raw_caller(const std::string& ip)
    {
        m_stream.expires_after(seconds{10});
        m_stream.connect(ip, std::to_string(front_fleet::callers_port));
    }

    void send(std::string_view bytes) { m_stream << bytes << std::flush; }

    /// @brief The head of the next response; empty if the connection ends before.
    std::string read_head()
    {
        std::string head;
        for (std::string line; std::getline(m_stream, line);) {
            if (line == "\r") {
                std::string body(content_length(head), '\0');
                m_stream.read(body.data(), static_cast<std::streamsize>(body.size()));
                return head;
            }
            head += line + "\n";
        }
        return {};
    }

    /// @brief The status of the next response; zero if the connection ends before.
    int read_status() { return status_of(read_head()); }

    static int status_of(std::string_view head)
    {
        constexpr std::string_view start = "HTTP/1.1 ";
        return head.starts_with(start) ? std::stoi(std::string{head.substr(start.size(), 3)}) : 0;
    }

private:
    static std::size_t content_length(const std::string& head)
    {
        constexpr std::string_view name = "Content-Length: ";
        const auto at = head.find(name);
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + name.size()));
    }

    boost::asio::ip::tcp::iostream m_stream;
};

std::string request(const std::string& path, const std::string& id, std::string_view body = "order")
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: {}\r\n"
                       "X-Chicorylink-Deadline-Ms: 4000\r\nX-Chicorylink-Key: secret\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       path, id, body.size(), body);
}

class connection_places : public scripted_vm {
protected:
    connection_places() : scripted_vm("127.0.26.1") { m_fleet.set_memory_mb(memory_mb); }

    void start_vm()
    {
        serve([](http_exchange& exchange) { return exchange.send(exchange.response("done")); });
        start();
    }

    /// Opens connections and sends the same on each of them.
    void open(int count, std::string_view bytes)
    {
        for (int number = 0; number < count; ++number) {
            m_callers.push_back(std::make_unique<raw_caller>(m_ip));
            m_callers.back()->send(bytes);
        }
    }

    /// Callers that come one after the other, each with a whole request that the VM answers by
    /// itself.
    std::vector<std::string> heads_for_newcomers()
    {
        std::vector<std::string> heads;
        for (int number = 0; number < newcomer_count; ++number) {
            raw_caller caller(m_ip);
            caller.send(request("/none/x", fmt::format("new-{}", number)));
            heads.push_back(caller.read_head());
        }
        return heads;
    }

    std::vector<std::unique_ptr<raw_caller>> m_callers;
};

// Guards against callers whose connection is closed without an answer because all places are taken
// by connections that have served a request and are idle.
TEST_F(connection_places, idle_connections_give_way_to_new_callers)
{
    start_vm();
    open(place_count, request("/none/x", "first"));
    for (const auto& caller : m_callers) {
        ASSERT_EQ(caller->read_status(), 404);
    }
    for (const auto& head : heads_for_newcomers()) {
        EXPECT_EQ(raw_caller::status_of(head), 404) << head;
    }
}

// Guards against a new connection that gives way to others although its request has arrived and is
// only not read yet, as happens while the process stands still: its caller got no answer.
TEST_F(connection_places, a_request_that_has_arrived_does_not_give_way)
{
    start_vm();
    open(place_count / 2, {});
    std::this_thread::sleep_for(milliseconds{500});
    ASSERT_TRUE(m_fleet.at(m_ip).pause());
    for (const auto& caller : m_callers) {
        caller->send(request("/none/x", "waiting"));
    }
    const auto waiting = m_callers.size();
    open(place_count, {});
    std::this_thread::sleep_for(milliseconds{500});
    m_fleet.at(m_ip).signal(SIGCONT);
    for (std::size_t number = 0; number < waiting; ++number) {
        const auto status = m_callers.at(number)->read_status();
        EXPECT_TRUE(status == 404 || status == 503) << status;
    }
}

// Guards against requests whose first half has been read and that are dropped without an answer
// when other callers come.
TEST_F(connection_places, a_half_read_request_is_refused_and_not_dropped)
{
    start_vm();
    const auto whole = request("/none/x", "half");
    open(place_count, whole.substr(0, whole.size() / 2));
    std::this_thread::sleep_for(seconds{2});
    for (const auto& head : heads_for_newcomers()) {
        EXPECT_EQ(raw_caller::status_of(head), 404) << head;
    }
    for (const auto& caller : m_callers) {
        caller->send(std::string_view{whole}.substr(whole.size() / 2));
    }
    for (const auto& caller : m_callers) {
        const auto status = caller->read_status();
        EXPECT_TRUE(status == 404 || status == 503) << status;
    }
}

// Guards against callers who get no answer while each place has a request that is coming in: they
// are refused and told when to return, and the requests that came before are served.
TEST_F(connection_places, callers_beyond_the_places_are_refused)
{
    start_vm();
    const auto whole = request("/none/x", "half");
    open(place_count, whole.substr(0, whole.size() / 2));
    for (const auto& head : heads_for_newcomers()) {
        EXPECT_EQ(raw_caller::status_of(head), 503) << head;
        EXPECT_NE(head.find("Retry-After"), std::string::npos) << head;
    }
    for (const auto& caller : m_callers) {
        caller->send(std::string_view{whole}.substr(whole.size() / 2));
    }
    for (const auto& caller : m_callers) {
        EXPECT_EQ(caller->read_status(), 404);
    }
}

} // namespace
} // namespace chicorylink::process_tests
