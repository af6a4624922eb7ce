// Queries at the readiness, directory and control addresses that a stop finds unread are answered.

#include "stopping_vm.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class stop_query : public stopping_vm {
protected:
    stop_query() : stopping_vm("127.0.28.2") {}

    /// @brief A query at the readiness, directory and control address each, on new connections.
    std::vector<described_connection> connections_for_queries(int each) const
    {
        std::vector<described_connection> connections;
        for (const auto port :
             {front_fleet::ready_port, front_fleet::directory_port, front_fleet::control_port}) {
            for (int number = 0; number < each; ++number) {
                connections.push_back(
                    {fmt::format("port {}", port), std::make_unique<raw_connection>(m_ip, port)});
            }
        }
        return connections;
    }

    static void send_queries(const std::vector<described_connection>& connections)
    {
        for (const auto& [what, connection] : connections) {
            EXPECT_TRUE(connection->send("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"));
        }
    }

    static std::size_t count_answers(const std::vector<described_connection>& connections)
    {
        std::size_t answers = 0;
        for (const auto& [what, connection] : connections) {
            answers += connection->read(patience).complete ? 1U : 0U;
        }
        return answers;
    }
};

// Guards against a process that exits while queries at its readiness, directory and control
// addresses have arrived and are not read: callers took the reset for a failed VM.
TEST_F(stop_query, a_stop_answers_queries_that_have_arrived)
{
    start();
    constexpr int each = 70;
    const auto connections = connections_for_queries(each);
    send_queries(connections);
    ASSERT_EQ(count_answers(connections), connections.size());
    begin_stop();
    wait_after_signal(milliseconds{1500});
    pause_until(milliseconds{3600}, [&] { send_queries(connections); });
    EXPECT_EQ(count_answers(connections), connections.size());
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

// Guards against the same on connections that have arrived and are not accepted.
TEST_F(stop_query, a_stop_answers_queries_on_connections_that_have_arrived)
{
    start();
    begin_stop();
    wait_after_signal(milliseconds{1500});
    std::vector<described_connection> connections;
    pause_until(milliseconds{3600}, [&] {
        constexpr int each = 20;
        connections = connections_for_queries(each);
        send_queries(connections);
    });
    EXPECT_EQ(count_answers(connections), connections.size());
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

// Guards against the same at the last moment of a stop, at which the process exits in any case.
TEST_F(stop_query, the_last_moment_of_a_stop_answers_queries_that_have_arrived)
{
    start();
    start_stream();
    constexpr int each = 20;
    auto connections = connections_for_queries(each);
    send_queries(connections);
    ASSERT_EQ(count_answers(connections), connections.size());
    begin_stop();
    wait_after_signal(milliseconds{4000});
    pause_until(end_of_requests + milliseconds{300}, [&] {
        for (auto& added : connections_for_queries(each)) {
            connections.push_back(std::move(added));
        }
        send_queries(connections);
    });
    EXPECT_EQ(count_answers(connections), connections.size());
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

} // namespace
} // namespace chicorylink::process_tests
