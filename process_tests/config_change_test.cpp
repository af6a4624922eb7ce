// Requests, connections and streams that a new configuration finds under way.

#include "front_fleet.hpp"
#include "http_call.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

constexpr const char* only_vm = "127.0.12.1";

/// A caller's connection on which a test decides when each byte is sent.
class caller_socket {
public:
    caller_socket()
    {
        m_stream.expires_after(seconds{10});
        m_stream.connect(only_vm, std::to_string(front_fleet::callers_port));
    }

    void send(std::string_view bytes) { m_stream << bytes << std::flush; }

    /// @brief Reads until the bytes received contain a text; false when the connection ends before.
    bool read_until(std::string_view text)
    {
        std::array<char, 1> byte{};
        while (m_received.find(text) == std::string::npos) {
            if (!m_stream.read(byte.data(), 1)) {
                return false;
            }
            m_received.push_back(byte[0]);
        }
        return true;
    }

    /// @brief Reads one response of the target and returns its status; zero if there is none.
    int read_response()
    {
        constexpr std::string_view status_line_start = "HTTP/1.1 ";
        m_received.clear();
        static_cast<void>(read_until("\r\n\r\n") && read_until("done"));
        return m_received.starts_with(status_line_start)
                   ? std::stoi(m_received.substr(status_line_start.size(), 3))
                   : 0;
    }

private:
    boost::asio::ip::tcp::iostream m_stream;
    std::string m_received;
};

std::string request_head(const std::string& id, std::size_t body_bytes,
                         const std::string& path = "/safe/x")
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: {}\r\n"
                       "X-Chicorylink-Deadline-Ms: 4000\r\nX-Chicorylink-Key: secret\r\n"
                       "Content-Length: {}\r\n\r\n",
                       path, id, body_bytes);
}

std::string event(int number)
{
    return http_exchange::chunk(fmt::format("id: {}\ndata: {}\n\n", number, number));
}

/// Answers requests on the stream route with two events, 1.5 seconds apart.
bool respond(http_exchange& exchange)
{
    if (!exchange.path().starts_with("/stream/")) {
        return exchange.send(exchange.response("done"));
    }
    return exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n") +
                         event(1)) &&
           exchange.pause(milliseconds{1500}) && exchange.send(event(2) + "0\r\n\r\n");
}

/// One VM and one target; the tests change the limits of callers.
class config_change : public testing::Test {
protected:
    void start(const nlohmann::json& limits)
    {
        publish_limits(1, limits);
        m_fleet.publish_target("i-only", m_target.address(), "east-a");
        m_fleet.start(only_vm, "east");
        ASSERT_TRUE(wait_until([] { return front_fleet::is_ready(only_vm); }, seconds{10}));
    }

    void publish_limits(int version, const nlohmann::json& limits)
    {
        m_fleet.store().put(
            "op/config", nlohmann::json{{"version", version},
                                        {"routes",
                                         {{{"name", "safe"},
                                           {"host", "h"},
                                           {"pathPrefix", "/safe/"},
                                           {"kind", "safe"},
                                           {"timeoutMs", 4000},
                                           {"service", "app"}},
                                          {{"name", "stream"},
                                           {"host", "h"},
                                           {"pathPrefix", "/stream/"},
                                           {"kind", "streaming"},
                                           {"timeoutMs", 4000},
                                           {"service", "app"}},
                                          {{"name", "mark"},
                                           {"host", "h"},
                                           {"pathPrefix", fmt::format("/version-{}/", version)},
                                           {"kind", "safe"},
                                           {"timeoutMs", 4000},
                                           {"service", "app"}}}},
                                        {"services", {{{"name", "app"}, {"maxConns", 100}}}},
                                        {"tenants", {{{"name", "cards"}, {"apiKeys", {"secret"}}}}},
                                        {"limits", limits}}
                             .dump());
    }

    /// @brief Waits until the VM serves a route that only this version has.
    static bool wait_for_version(int version)
    {
        const auto path = fmt::format("/version-{}/x", version);
        return wait_until(
            [&] { return perform(front_fleet::request(only_vm, path, "probe")).status == 200; },
            seconds{5});
    }

    scripted_target m_target{respond};
    front_fleet m_fleet{binaries(), "chicorylink_config_change"};
};

// Guards against a kept connection that holds its caller to the limits of the configuration under
// which its previous request ended: a larger request, allowed by now, got 413.
TEST_F(config_change, a_kept_connection_follows_a_raised_body_limit)
{
    start({{"maxBodyBytes", 100}});
    caller_socket caller;
    caller.send(request_head("id-1", 5) + "order");
    ASSERT_EQ(caller.read_response(), 200);
    publish_limits(2, {{"maxBodyBytes", 1000}});
    ASSERT_TRUE(wait_for_version(2));
    caller.send(request_head("id-2", 500) + std::string(500, 'x'));
    EXPECT_EQ(caller.read_response(), 200);
}

// Guards against a shorter time for sending a request being applied to a request on its way: its
// connection was closed with neither a response nor a refusal.
TEST_F(config_change, a_request_on_its_way_keeps_the_time_that_it_began_with)
{
    start({{"headerTimeoutMs", 5000}});
    caller_socket caller;
    caller.send(request_head("id-1", 5) + "or");
    // The VM has to read these bytes before it learns of the new configuration.
    std::this_thread::sleep_for(milliseconds{150});
    publish_limits(2, {{"headerTimeoutMs", 300}});
    ASSERT_TRUE(wait_for_version(2));
    std::this_thread::sleep_for(milliseconds{1200});
    caller.send("der");
    EXPECT_EQ(caller.read_response(), 200);
}

// Guards against a shorter idle timeout closing connections that callers still rely on: a request
// that crosses the close gets neither a response nor a refusal.
TEST_F(config_change, an_idle_connection_keeps_the_time_that_it_began_with)
{
    start({{"idleTimeoutMs", 5000}});
    caller_socket caller;
    caller.send(request_head("id-1", 5) + "order");
    ASSERT_EQ(caller.read_response(), 200);
    publish_limits(2, {{"idleTimeoutMs", 200}});
    ASSERT_TRUE(wait_for_version(2));
    std::this_thread::sleep_for(milliseconds{1500});
    caller.send(request_head("id-2", 5) + "order");
    EXPECT_EQ(caller.read_response(), 200);
}

// Guards against callers that don't know the idle timeout: a request that they send on a connection
// idle for about that long crosses the close and gets neither a response nor a refusal.
TEST_F(config_change, a_response_announces_the_idle_timeout)
{
    start({{"idleTimeoutMs", 5900}});
    caller_socket caller;
    caller.send(request_head("id-1", 5) + "order");
    EXPECT_TRUE(caller.read_until("Keep-Alive: timeout=5\r\n"));
}

// Guards against a connection that is closed before the idle time that its response announced: the
// response began under a configuration with a longer time than the one in force at its end.
TEST_F(config_change, a_connection_keeps_the_idle_time_that_its_response_announced)
{
    start({{"idleTimeoutMs", 5000}});
    caller_socket caller;
    caller.send(request_head("id-1", 5, "/stream/x") + "order");
    ASSERT_TRUE(caller.read_until("data: 1"));
    publish_limits(2, {{"idleTimeoutMs", 200}});
    ASSERT_TRUE(caller.read_until("0\r\n\r\n"));
    std::this_thread::sleep_for(milliseconds{1500});
    caller.send(request_head("id-2", 5) + "order");
    EXPECT_EQ(caller.read_response(), 200);
}

// Guards against a stream that is cut because a configuration has dropped its route since it began:
// its target breaks off, and the VM refuses to send the request, which its caller sent before, to
// another one.
TEST_F(config_change, a_stream_that_has_begun_goes_on_after_its_route_is_dropped)
{
    const auto stream = [](http_exchange& exchange) {
        const auto last = exchange.header("Last-Event-Id");
        exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n"));
        if (!last.empty()) {
            return exchange.send(event(2) + event(3) + "0\r\n\r\n");
        }
        exchange.send(event(1));
        exchange.pause(milliseconds{800});
        return false;
    };
    scripted_target first(stream);
    scripted_target second(stream);
    front_fleet fleet{binaries(), "chicorylink_dropped_route"};
    fleet.publish_config(1, {"secret"});
    fleet.publish_target("i-first", first.address(), "east-a");
    fleet.publish_target("i-second", second.address(), "east-a");
    fleet.start(only_vm, "east");
    ASSERT_TRUE(wait_until([] { return front_fleet::is_ready(only_vm); }, seconds{10}));
    reply result;
    std::thread caller(
        [&] { result = perform(front_fleet::request(only_vm, "/stream/x", "id-1")); });
    EXPECT_TRUE(wait_until([&] { return first.request_count() + second.request_count() == 1; },
                           seconds{2}));
    fleet.store().put("op/config",
                      nlohmann::json{{"version", 2},
                                     {"routes", nlohmann::json::array()},
                                     {"services", {{{"name", "app"}}}},
                                     {"tenants", {{{"name", "cards"}, {"apiKeys", {"secret"}}}}}}
                          .dump());
    caller.join();
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.body, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n");
}

} // namespace
} // namespace chicorylink::process_tests
