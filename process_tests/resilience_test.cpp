// Reproduces failures known from the operation of similar systems with running daemons: stops under
// load, paused and killed VMs, lost responses. Tests of invalid responses and raw bytes of targets
// are in hostile_test.cpp.

#include "front_fleet.hpp"
#include "http_call.hpp"
#include "raw_exchange.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

constexpr const char* first_vm = "127.0.4.1";
constexpr const char* second_vm = "127.0.4.2";
constexpr const char* west_vm = "127.0.4.3";

std::string event(int number)
{
    return http_exchange::chunk(fmt::format("id: {}\ndata: {}\n\n", number, number));
}

/// Two VMs in `east` and one in `west`, with a target scripted by the test in each region.
class resilience : public testing::Test {
protected:
    void start(scripted_target::script east, scripted_target::script west)
    {
        m_east = std::make_unique<scripted_target>(std::move(east));
        m_west = std::make_unique<scripted_target>(std::move(west));
        m_fleet.publish_config(1, {"secret"});
        m_fleet.publish_target("i-east", m_east->address(), "east-a");
        m_fleet.publish_target("i-west", m_west->address(), "west-a");
        m_fleet.start(first_vm, "east");
        m_fleet.start(second_vm, "east");
        m_fleet.start(west_vm, "west");
        for (const auto& [ip, process] : m_fleet.vms()) {
            ASSERT_TRUE(wait_until([at = ip] { return front_fleet::is_ready(at); }, seconds{10}));
        }
        ASSERT_TRUE(wait_until([] { return front_fleet::directory(first_vm, "west").size() == 1; },
                               seconds{5}));
    }
    void start(const scripted_target::script& both) { start(both, both); }

    [[nodiscard]] static reply send_request(const std::string& ip, const std::string& path,
                                            const std::string& id)
    {
        return perform(front_fleet::request(ip, path, id));
    }
    [[nodiscard]] int request_count(const std::string& id)
    {
        return m_east->request_count(id) + m_west->request_count(id);
    }

    std::unique_ptr<scripted_target> m_east;
    std::unique_ptr<scripted_target> m_west;
    front_fleet m_fleet{binaries(), "chicorylink_stories"};
};

// Guards against a planned stop under load that drops just accepted requests without a response.
// Each request uses a new connection, until no more connections are accepted.
TEST_F(resilience, a_stop_under_load_answers_every_accepted_request)
{
    start([](http_exchange& exchange) {
        return exchange.pause(milliseconds{20}) && exchange.send(exchange.response("done"));
    });
    std::atomic<bool> has_exited{false};
    std::atomic<int> answered{0};
    std::atomic<int> dropped{0};
    std::vector<std::thread> callers;
    constexpr int callers_at_once = 12;
    callers.reserve(callers_at_once);
    for (int number = 0; number < callers_at_once; ++number) {
        callers.emplace_back([&, number] {
            for (int turn = 0; !has_exited; ++turn) {
                connection client;
                const auto id = fmt::format("id-{}-{}", number, turn);
                const auto result = client.perform(front_fleet::request(first_vm, "/unsafe/x", id));
                if (result.status != 0) {
                    ++answered;
                }
                else if (client.opened() > 0) {
                    // The connection was accepted but there was no response.
                    ++dropped;
                }
            }
        });
    }
    std::this_thread::sleep_for(milliseconds{500});
    m_fleet.at(first_vm).signal(SIGTERM);
    EXPECT_EQ(m_fleet.at(first_vm).wait(seconds{8}), 0);
    has_exited = true;
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_GT(answered, 50);
    EXPECT_EQ(dropped, 0);
}

// The process must not exit while a slow caller still reads its response.
TEST_F(resilience, a_stop_waits_for_a_caller_that_reads_slowly)
{
    constexpr std::size_t size = 6UL * 1024 * 1024;
    start([](http_exchange& exchange) {
        return exchange.send(exchange.response(std::string(size, 'y')));
    });
    auto slow = front_fleet::request(first_vm, "/unsafe/x", "id-1");
    slow.on_data = [](const std::string&) {
        std::this_thread::sleep_for(milliseconds{12});
        return true;
    };
    reply result;
    std::thread caller([&] { result = perform(slow); });
    EXPECT_TRUE(wait_until([&] { return request_count("id-1") == 1; }, seconds{2}));
    m_fleet.at(first_vm).signal(SIGTERM);
    EXPECT_EQ(m_fleet.at(first_vm).wait(seconds{9}), 0);
    caller.join();
    EXPECT_EQ(result.status, 200);
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.body.size(), size);
}

// Guards against a stop that drops a request read behind another one of its connection: the first
// response says that the connection closes, and the second request gets no answer.
TEST_F(resilience, a_stop_answers_a_request_read_behind_another)
{
    start([](http_exchange& exchange) {
        return exchange.pause(milliseconds{600}) && exchange.send(exchange.response("done"));
    });
    const auto request = [](const std::string& id) {
        return fmt::format("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Chicorylink-Request-Id: {}\r\n"
                           "X-Chicorylink-Deadline-Ms: 4000\r\nX-Chicorylink-Key: secret\r\n"
                           "Content-Length: 5\r\n\r\norder",
                           id);
    };
    raw_response responses;
    std::thread caller([&] {
        responses = exchange_raw(fmt::format("{}:{}", first_vm, front_fleet::callers_port),
                                 request("id-1") + request("id-2"), seconds{5});
    });
    EXPECT_TRUE(wait_until([&] { return request_count("id-1") == 1; }, seconds{2}));
    m_fleet.at(first_vm).signal(SIGTERM);
    EXPECT_EQ(m_fleet.at(first_vm).wait(seconds{9}), 0);
    caller.join();
    EXPECT_EQ(responses.response_count(), 2U);
    EXPECT_TRUE(responses.closed);
}

// Guards against a request that ran and lost its response being run again or reported as not run.
// The response is lost at the target and between two VMs.
TEST_F(resilience, a_lost_response_is_neither_retried_nor_reported_as_not_run)
{
    start([](http_exchange&) { return false; });
    const auto local = send_request(first_vm, "/unsafe/x", "id-1");
    EXPECT_EQ(local.status, 502);
    EXPECT_EQ(request_count("id-1"), 1);
    const auto remote = send_request(first_vm, "/west/x", "id-2");
    EXPECT_EQ(remote.status, 502);
    EXPECT_LE(m_west->request_count("id-2"), 2);
}

TEST_F(resilience, a_request_forwarded_to_a_killed_vm_is_not_reported_as_not_run)
{
    start([](http_exchange& exchange) {
        return exchange.pause(seconds{3}) && exchange.send(exchange.response("done"));
    });
    // Only the VM of the other region can run the request.
    reply result;
    std::thread caller([&] { result = send_request(first_vm, "/west/x", "id-1"); });
    EXPECT_TRUE(wait_until([&] { return m_west->request_count("id-1") == 1; }, seconds{2}));
    m_fleet.at(west_vm).kill();
    caller.join();
    EXPECT_TRUE(result.status == 502 || result.status == 504) << result.status;
    EXPECT_EQ(m_west->request_count("id-1"), 1);
}

// Guards against running requests of a machine that was only silent for a while being restarted
// elsewhere or abandoned. Here the VM itself is paused while responses arrive.
TEST_F(resilience, a_paused_vm_continues_its_requests)
{
    const auto script = [](http_exchange& exchange) {
        if (exchange.path() == "/unsafe/x") {
            return exchange.pause(milliseconds{400}) && exchange.send(exchange.response("done"));
        }
        auto is_connected = exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                                        "Transfer-Encoding: chunked\r\n"));
        for (int number = 1; number <= 24 && is_connected; ++number) {
            is_connected = exchange.send(event(number)) && exchange.pause(milliseconds{100});
        }
        return is_connected && exchange.send("0\r\n\r\n");
    };
    start(script);
    reply stream;
    reply plain;
    std::thread first([&] { stream = send_request(first_vm, "/stream/x", "id-stream"); });
    std::thread second([&] { plain = send_request(first_vm, "/unsafe/x", "id-plain"); });
    EXPECT_TRUE(wait_until(
        [&] { return request_count("id-stream") == 1 && request_count("id-plain") == 1; },
        seconds{2}));
    std::this_thread::sleep_for(milliseconds{200});
    m_fleet.at(first_vm).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{1800});
    m_fleet.at(first_vm).signal(SIGCONT);
    first.join();
    second.join();
    EXPECT_EQ(plain.body, "done");
    EXPECT_TRUE(stream.complete);
    EXPECT_NE(stream.body.find("data: 24"), std::string::npos);
    EXPECT_EQ(request_count("id-stream"), 1);
    EXPECT_EQ(request_count("id-plain"), 1);
}

// A response that arrived while the VM was paused is delivered, even after its deadline.
TEST_F(resilience, a_response_received_during_a_pause_is_delivered_late)
{
    start([](http_exchange& exchange) {
        return exchange.pause(milliseconds{300}) && exchange.send(exchange.response("done"));
    });
    auto outgoing = front_fleet::request(first_vm, "/unsafe/x", "id-1");
    outgoing.headers[2] = "X-Chicorylink-Deadline-Ms: 1500";
    reply result;
    std::thread caller([&] { result = perform(outgoing); });
    EXPECT_TRUE(wait_until([&] { return request_count("id-1") == 1; }, seconds{2}));
    m_fleet.at(first_vm).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{2200});
    m_fleet.at(first_vm).signal(SIGCONT);
    caller.join();
    EXPECT_EQ(result.body, "done");
}

// A request that must not run twice stays at a silent target, and its late response is used.
TEST_F(resilience, a_request_at_a_silent_target_is_neither_retried_nor_abandoned)
{
    start([](http_exchange& exchange) {
        return exchange.pause(milliseconds{2800}) && exchange.send(exchange.response("done"));
    });
    const auto result = send_request(first_vm, "/unsafe/x", "id-1");
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(request_count("id-1"), 1);
}

// A request forwarded to a VM that is then paused must not be restarted through a third VM.
TEST_F(resilience, a_request_forwarded_to_a_paused_vm_is_neither_retried_nor_abandoned)
{
    start([](http_exchange& exchange) {
        return exchange.pause(milliseconds{200}) && exchange.send(exchange.response("done"));
    });
    reply result;
    std::thread caller([&] { result = send_request(first_vm, "/west/x", "id-1"); });
    EXPECT_TRUE(wait_until([&] { return m_west->request_count("id-1") == 1; }, seconds{2}));
    m_fleet.at(west_vm).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{2500});
    m_fleet.at(west_vm).signal(SIGCONT);
    caller.join();
    EXPECT_EQ(result.body, "done");
    EXPECT_EQ(m_west->request_count("id-1"), 1);
}

// An address that is no member of the fleet can't change the fleet's state by datagram, and a
// request that it forwards is charged like a caller's.
TEST_F(resilience, a_forwarded_request_of_a_non_member_is_charged)
{
    start([](http_exchange& exchange) { return exchange.send(exchange.response("done")); });
    auto forwarded = front_fleet::request(first_vm, "/unsafe/x", "id-1");
    forwarded.url = fmt::format("http://{}:{}/unsafe/x", first_vm, front_fleet::peer_port);
    forwarded.headers.emplace_back("Chicorylink-Forwarded-Under: 1");
    EXPECT_EQ(perform(forwarded).status, 200);
    call metrics;
    metrics.url = fmt::format("http://{}:{}/metrics", first_vm, front_fleet::control_port);
    EXPECT_NE(perform(metrics).body.find("requests_of_unknown_peers_total 1"), std::string::npos);
    forwarded.headers[3] = "X-Chicorylink-Key: wrong";
    EXPECT_EQ(perform(forwarded).status, 401);
}

// A target's announcement that it is leaving reaches VMs of its region that sent it no request.
TEST_F(resilience, a_leaving_target_is_reported_to_its_region)
{
    start(
        [](http_exchange& exchange) {
            return exchange.send(exchange.response("east", "Server-Leaving: 1\r\n"));
        },
        [](http_exchange& exchange) { return exchange.send(exchange.response("west")); });
    EXPECT_EQ(send_request(first_vm, "/safe/x", "id-1").body, "east");
    std::this_thread::sleep_for(seconds{1});
    const auto before = m_east->request_count();
    for (int number = 0; number < 10; ++number) {
        EXPECT_EQ(send_request(second_vm, "/safe/x", fmt::format("id-{}", 10 + number)).body,
                  "west");
    }
    EXPECT_EQ(m_east->request_count(), before);
}

} // namespace
} // namespace chicorylink::process_tests
