// Requests that were read behind others on their connections when a process exits.

#include "front_fleet.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <chrono>
#include <csignal>
#include <memory>
#include <string>
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

constexpr const char* only_vm = "127.0.29.4";

/// A connection of a caller that is kept open between requests.
class kept_connection {
public:
    kept_connection()
    {
        m_stream.expires_after(seconds{30});
        m_stream.connect(only_vm, std::to_string(front_fleet::callers_port));
    }

    /// @brief Sends requests at once that the VM answers by itself.
    void send_requests(int count)
    {
        std::string bytes;
        for (int number = 0; number < count; ++number) {
            bytes +=
                fmt::format("POST /none/x HTTP/1.1\r\nHost: h\r\n"
                            "X-Chicorylink-Request-Id: id-{}\r\n"
                            "X-Chicorylink-Deadline-Ms: 4000\r\nContent-Length: 5\r\n\r\norder",
                            number);
        }
        m_stream << bytes << std::flush;
    }

    /// @brief Reads until `count` responses have arrived or the connection ends.
    int read_responses(int count)
    {
        int received = 0;
        std::string line;
        while (received < count && std::getline(m_stream, line)) {
            received += line.starts_with("HTTP/1.1 ") ? 1 : 0;
            if (received == count) {
                // The body's last line.
                while (std::getline(m_stream, line) && !line.ends_with("}")) {
                }
            }
        }
        return received;
    }

private:
    boost::asio::ip::tcp::iostream m_stream;
};

// Guards against requests that a process has read whole and neither answers nor refuses: they were
// read behind others on their connections in the last moment of a stop.
TEST(pipelined_stop, the_last_moment_of_a_stop_refuses_all_requests_read_on_a_connection)
{
    constexpr int connection_count = 200;
    constexpr int requests_at_once = 6;
    scripted_target target{
        [](http_exchange& exchange) { return exchange.send(exchange.response("done")); }};
    front_fleet fleet{binaries(), "chicorylink_pipelined_stop"};
    fleet.publish_config(1, {"secret"});
    fleet.publish_target("i-only", target.address(), "east-a");
    fleet.start(only_vm, "east");
    ASSERT_TRUE(wait_until([] { return front_fleet::is_ready(only_vm); }, seconds{10}));
    std::vector<std::unique_ptr<kept_connection>> connections;
    connections.reserve(connection_count);
    for (int number = 0; number < connection_count; ++number) {
        connections.push_back(std::make_unique<kept_connection>());
        connections.back()->send_requests(1);
        ASSERT_EQ(connections.back()->read_responses(1), 1);
    }
    auto& vm = fleet.at(only_vm);
    vm.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds{1500});
    ASSERT_TRUE(vm.pause());
    for (const auto& connection : connections) {
        connection->send_requests(requests_at_once);
    }
    std::this_thread::sleep_for(milliseconds{6400});
    vm.signal(SIGCONT);
    int answered = 0;
    for (const auto& connection : connections) {
        answered += connection->read_responses(requests_at_once);
    }
    EXPECT_EQ(answered, connection_count * requests_at_once);
    EXPECT_EQ(vm.wait(seconds{5}), 0);
}

} // namespace
} // namespace chicorylink::process_tests
