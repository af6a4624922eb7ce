// Connections that this side closes while a caller's request has arrived and is not read yet.

#include "front_fleet.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

constexpr const char* only_vm = "127.0.13.1";

/// More connections than one turn of the event loop reads.
constexpr int connection_count = 200;

/// A caller's connection that is kept open between requests.
class kept_connection {
public:
    kept_connection()
    {
        m_stream.expires_after(seconds{20});
        m_stream.connect(only_vm, std::to_string(front_fleet::callers_port));
    }

    /// @brief Sends a request that the VM answers by itself.
    void send_request()
    {
        m_stream << "POST /none/x HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: id\r\n"
                    "X-Chicorylink-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\norder"
                 << std::flush;
    }

    /// @brief Reads one response and returns its status; zero if the connection ends before.
    int read_status()
    {
        constexpr std::string_view status_line_start = "HTTP/1.1 ";
        std::string received;
        std::array<char, 1> byte{};
        while (!received.ends_with("}\n") && m_stream.read(byte.data(), 1)) {
            received.push_back(byte[0]);
        }
        return received.ends_with("}\n") && received.starts_with(status_line_start)
                   ? std::stoi(received.substr(status_line_start.size(), 3))
                   : 0;
    }

private:
    boost::asio::ip::tcp::iostream m_stream;
};

/// One VM with many kept connections.
class connection_end : public testing::Test {
protected:
    /// @brief Starts the VM and opens the connections.
    void start(milliseconds idle_timeout)
    {
        m_fleet.store().put(
            "op/config", nlohmann::json{{"version", 1},
                                        {"routes",
                                         {{{"name", "safe"},
                                           {"host", "h"},
                                           {"pathPrefix", "/safe/"},
                                           {"kind", "safe"},
                                           {"timeoutMs", 4000},
                                           {"service", "app"}}}},
                                        {"services", {{{"name", "app"}, {"maxConns", 100}}}},
                                        {"tenants", {{{"name", "cards"}, {"apiKeys", {"secret"}}}}},
                                        {"limits", {{"idleTimeoutMs", idle_timeout.count()}}}}
                             .dump());
        m_fleet.publish_target("i-only", m_target.address(), "east-a");
        m_fleet.start(only_vm, "east");
        ASSERT_TRUE(wait_until([] { return front_fleet::is_ready(only_vm); }, seconds{10}));
        for (int number = 0; number < connection_count; ++number) {
            m_connections.push_back(std::make_unique<kept_connection>());
            m_connections.back()->send_request();
        }
        ASSERT_EQ(count_responses(404), connection_count);
    }

    /// @brief Sends a request on each connection to a VM that stands still, and lets it go on.
    void send_requests_during_pause(milliseconds duration)
    {
        ASSERT_TRUE(m_fleet.at(only_vm).pause());
        // Its timers are due before the requests arrive.
        std::this_thread::sleep_for(milliseconds{100});
        for (const auto& connection : m_connections) {
            connection->send_request();
        }
        std::this_thread::sleep_for(duration);
        m_fleet.at(only_vm).signal(SIGCONT);
    }

    std::ptrdiff_t count_responses(int status)
    {
        return std::count_if(m_connections.begin(), m_connections.end(),
                             [&](const auto& each) { return each->read_status() == status; });
    }

    std::vector<std::unique_ptr<kept_connection>> m_connections;
    scripted_target m_target{
        [](http_exchange& exchange) { return exchange.send(exchange.response("done")); }};
    front_fleet m_fleet{binaries(), "chicorylink_connection_end"};
};

// Guards against an idle timeout that closes a connection whose next request has arrived in time
// and is not read yet, as happens after a pause of the process: its caller got a reset.
TEST_F(connection_end, an_idle_timeout_spares_a_request_that_has_arrived)
{
    constexpr milliseconds idle_timeout{2000};
    start(idle_timeout);
    send_requests_during_pause(idle_timeout + seconds{1});
    EXPECT_EQ(count_responses(404), connection_count);
}

// Guards against a stop that ends the process while requests on kept connections have arrived and
// are not read yet: their callers got a reset instead of a refusal.
TEST_F(connection_end, a_stop_refuses_requests_that_have_arrived)
{
    start(seconds{15});
    m_fleet.at(only_vm).signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds{1500});
    send_requests_during_pause(seconds{2});
    EXPECT_EQ(count_responses(503), connection_count);
    EXPECT_EQ(m_fleet.at(only_vm).wait(seconds{5}), 0);
}

// Guards against the same at the last moment of a stop, at which the process exits in any case.
TEST_F(connection_end, the_last_moment_of_a_stop_refuses_requests_that_have_arrived)
{
    start(seconds{15});
    m_fleet.at(only_vm).signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds{1500});
    send_requests_during_pause(milliseconds{6200});
    EXPECT_EQ(count_responses(503), connection_count);
    EXPECT_EQ(m_fleet.at(only_vm).wait(seconds{5}), 0);
}

} // namespace
} // namespace chicorylink::process_tests
