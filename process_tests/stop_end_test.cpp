// Requests that a VM has read in part, or that come to it late in a planned stop, are refused: no
// caller and no other VM is left without an answer.

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

/// Beginnings of a request, each without its end.
std::vector<std::string> halves()
{
    const auto whole = request_bytes("half");
    return {"P", whole.substr(0, whole.size() / 2), whole.substr(0, whole.size() - 2),
            request_bytes("half", "/safe/x", 4000, "Transfer-Encoding: chunked", "5\r\norder\r\n")};
}

/// The requests may come from callers and from other VMs.
class stop_end : public stopping_vm {
protected:
    stop_end() : stopping_vm("127.0.28.1") {}

    /// @brief Opens a connection for each half of a request at each address, new and used.
    std::vector<described_connection> connections_for_halves()
    {
        std::vector<described_connection> connections;
        for (const auto port : request_ports) {
            for (const bool is_used : {false, true}) {
                for (std::size_t half = 0; half < halves().size(); ++half) {
                    auto connection = std::make_unique<raw_connection>(m_ip, port);
                    if (is_used) {
                        connection->send(request_bytes("first"));
                        EXPECT_EQ(connection->read(patience).status, 200);
                    }
                    connections.push_back(
                        {fmt::format("port {}, half {}, {}", port, half, is_used ? "used" : "new"),
                         std::move(connection)});
                }
            }
        }
        return connections;
    }

    static void send_halves(const std::vector<described_connection>& connections)
    {
        for (std::size_t number = 0; number < connections.size(); ++number) {
            const auto all = halves();
            EXPECT_TRUE(connections[number].connection->send(all[number % all.size()]));
        }
    }
};

// Guards against callers who come to a leaving VM that still serves a stream, and get no connection
// or a reset one: those who still know its address are told to come back.
TEST_F(stop_end, a_caller_who_comes_late_in_a_stop_is_refused)
{
    start();
    start_stream();
    begin_stop();
    for (const milliseconds late : {milliseconds{4000}, milliseconds{6500}}) {
        wait_after_signal(late);
        for (const auto port : request_ports) {
            const auto id = fmt::format("late-{}-{}", port, late.count());
            raw_connection connection(m_ip, port);
            connection.send(request_bytes(id));
            const auto reply = connection.read(seconds{2});
            EXPECT_EQ(reply.status, 503) << id << ": " << reply.problem;
            EXPECT_GT(reply.retry_after_s(), 0) << id;
            EXPECT_EQ(m_target.request_count(id), 0);
        }
    }
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

// Guards against connections that arrive while the process stands still, so that the last moment of
// its stop comes before their requests are read.
TEST_F(stop_end, a_caller_who_comes_before_the_last_moment_is_refused)
{
    start();
    start_stream();
    begin_stop();
    wait_after_signal(milliseconds{4000});
    std::vector<described_connection> connections;
    pause_until(end_of_requests + milliseconds{300}, [&] {
        constexpr int each = 20;
        for (const auto port : request_ports) {
            for (int number = 0; number < each; ++number) {
                auto connection = std::make_unique<raw_connection>(m_ip, port);
                connection->send(request_bytes("late"));
                connections.push_back({fmt::format("port {}", port), std::move(connection)});
            }
        }
    });
    expect_replies(connections, 503);
    EXPECT_EQ(m_target.request_count("late"), 0);
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

// Guards against a request that a VM has read in part when its stop ends the requests: its caller
// got a closed connection instead of a refusal.
TEST_F(stop_end, the_end_of_a_stop_refuses_requests_that_are_partly_read)
{
    start();
    start_stream();
    const auto connections = connections_for_halves();
    begin_stop();
    wait_after_signal(milliseconds{6500});
    send_halves(connections);
    expect_replies(connections, 503);
    EXPECT_EQ(m_target.request_count("half"), 0);
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

// Guards against the same when the halves have arrived and are not read at the last moment.
TEST_F(stop_end, the_last_moment_of_a_stop_refuses_halves_that_have_arrived)
{
    start();
    start_stream();
    const auto connections = connections_for_halves();
    begin_stop();
    wait_after_signal(milliseconds{6000});
    pause_until(end_of_requests + milliseconds{300}, [&] { send_halves(connections); });
    expect_replies(connections, 503);
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

// Guards against a half that was read behind a request that the end of the stop answers.
TEST_F(stop_end, the_end_of_a_stop_refuses_a_half_that_is_read_behind_a_request)
{
    start();
    std::vector<described_connection> connections;
    const auto all = halves();
    for (const auto port : request_ports) {
        for (std::size_t half = 0; half < all.size(); ++half) {
            const auto id = fmt::format("silent-{}-{}", port, half);
            auto connection = std::make_unique<raw_connection>(m_ip, port);
            connection->send(request_bytes(id, "/unsafe/silent", 15000) + all[half]);
            connections.push_back({id, std::move(connection)});
            ASSERT_TRUE(wait_until([&] { return m_target.request_count(id) == 1; }, seconds{2}));
        }
    }
    begin_stop();
    for (const auto& [what, connection] : connections) {
        const auto first = connection->read(patience);
        EXPECT_EQ(first.status, 502) << what << ": " << first.problem;
    }
    expect_replies(connections, 503);
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

// Guards against a request whose reading is paused because all requests hold too much, in the
// moment in which a stop ends them.
TEST_F(stop_end, the_end_of_a_stop_refuses_requests_that_are_paused_for_memory)
{
    constexpr long memory_mb = 96;
    constexpr std::size_t body_bytes = 4'000'000;
    m_fleet.set_memory_mb(memory_mb);
    start();
    start_stream();
    std::vector<described_connection> connections;
    constexpr int count = 40;
    connections.reserve(count);
    for (int number = 0; number < count; ++number) {
        connections.push_back({fmt::format("body {}", number),
                               std::make_unique<raw_connection>(m_ip, front_fleet::callers_port)});
    }
    begin_stop();
    wait_after_signal(end_of_requests - milliseconds{350});
    std::vector<std::thread> callers;
    callers.reserve(count);
    for (const auto& each : connections) {
        callers.emplace_back([&, &connection = *each.connection] {
            connection.send(request_bytes("half", "/safe/x", 4000,
                                          fmt::format("Content-Length: {}", body_bytes),
                                          std::string(body_bytes - 1, 'y')));
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    expect_replies(connections, 503);
    EXPECT_EQ(m_target.request_count("half"), 0);
    EXPECT_EQ(m_fleet.at(m_ip).wait(seconds{5}), 0);
}

// Guards against a request that isn't complete in time and whose caller gets a closed connection,
// which doesn't tell whether it ran.
TEST_F(stop_end, a_request_that_is_not_complete_in_time_is_refused)
{
    start({{"headerTimeoutMs", 700}});
    const auto connections = connections_for_halves();
    const auto sent_at = clock::now();
    send_halves(connections);
    expect_replies(connections, 408);
    EXPECT_GT(clock::now() - sent_at, milliseconds{690});
    EXPECT_LT(clock::now() - sent_at, milliseconds{2500});
    EXPECT_EQ(m_target.request_count("half"), 0);
    for (const auto& [what, connection] : connections) {
        EXPECT_EQ(connection->read(seconds{3}).problem, "End of file") << what;
    }
}

} // namespace
} // namespace chicorylink::process_tests
