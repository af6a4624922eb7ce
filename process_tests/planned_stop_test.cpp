// Requests that are still on their way when the VM that runs them is stopped.

#include "front_fleet.hpp"
#include "http_call.hpp"
#include "raw_exchange.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

constexpr const char* east_vm = "127.0.14.1";
constexpr const char* west_vm = "127.0.14.2";

constexpr int event_count = 50;
constexpr milliseconds event_interval{200};

std::string event(int number)
{
    return fmt::format("id: {}\ndata: {}\n\n", number, number);
}

std::string all_events()
{
    std::string body;
    for (int number = 1; number <= event_count; ++number) {
        body += event(number);
    }
    return body;
}

/// Sends a stream that lasts ten seconds, from behind the last event that the request names.
bool send_stream(http_exchange& exchange)
{
    const auto last = exchange.header("Last-Event-Id");
    bool is_connected = exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                                    "Transfer-Encoding: chunked\r\n"));
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= event_count && is_connected;
         ++number) {
        is_connected =
            exchange.send(http_exchange::chunk(event(number))) && exchange.pause(event_interval);
    }
    return is_connected && exchange.send("0\r\n\r\n");
}

/// One VM in `east` and one in `west`, with a target scripted by the test in each region.
class planned_stop : public testing::Test {
protected:
    void start(const scripted_target::script& script)
    {
        m_east = std::make_unique<scripted_target>(script);
        m_west = std::make_unique<scripted_target>(script);
        m_fleet.publish_config(1, {"secret"});
        m_fleet.publish_target("i-east", m_east->address(), "east-a");
        m_fleet.publish_target("i-west", m_west->address(), "west-a");
        m_fleet.start(east_vm, "east");
        m_fleet.start(west_vm, "west");
        for (const auto* ip : {east_vm, west_vm}) {
            ASSERT_TRUE(wait_until([ip] { return front_fleet::is_ready(ip); }, seconds{10}));
        }
        ASSERT_TRUE(wait_until([] { return front_fleet::directory(east_vm, "west").size() == 1; },
                               seconds{5}));
    }

    std::unique_ptr<scripted_target> m_east;
    std::unique_ptr<scripted_target> m_west;
    front_fleet m_fleet{binaries(), "chicorylink_planned_stop"};
};

// Guards against a stream that is reset because the VM to which it was forwarded has ended its stop
// while no other VM of the region was ready. The VM that forwards it looks for another one until
// its caller would give up.
TEST_F(planned_stop, a_forwarded_stream_goes_on_when_the_region_is_ready_again)
{
    start(send_stream);
    auto outgoing = front_fleet::request(east_vm, "/west-stream/x", "id-1");
    outgoing.headers[2] = "X-Chicorylink-Deadline-Ms: 15000";
    reply result;
    std::thread caller([&] { result = perform(outgoing); });
    EXPECT_TRUE(wait_until([&] { return m_west->request_count("id-1") == 1; }, seconds{2}));
    m_fleet.at(west_vm).signal(SIGTERM);
    EXPECT_EQ(m_fleet.at(west_vm).wait(seconds{9}), 0);
    m_fleet.start(west_vm, "west");
    caller.join();
    EXPECT_EQ(result.status, 200);
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.body, all_events());
}

// A stream whose region doesn't come back ends when its caller would give up, before its deadline.
TEST_F(planned_stop, a_forwarded_stream_does_not_wait_longer_than_its_caller)
{
    start(send_stream);
    auto outgoing = front_fleet::request(east_vm, "/west-stream/x", "id-1");
    outgoing.headers[2] = "X-Chicorylink-Deadline-Ms: 15000";
    reply result;
    std::chrono::steady_clock::time_point ended_at;
    std::thread caller([&] {
        result = perform(outgoing);
        ended_at = std::chrono::steady_clock::now();
    });
    EXPECT_TRUE(wait_until([&] { return m_west->request_count("id-1") == 1; }, seconds{2}));
    std::this_thread::sleep_for(milliseconds{500});
    m_fleet.at(west_vm).kill();
    const auto killed_at = std::chrono::steady_clock::now();
    caller.join();
    EXPECT_FALSE(result.complete);
    // Eight times the pause objective, and a search interval.
    EXPECT_GT(ended_at - killed_at, milliseconds{2500});
    EXPECT_LT(ended_at - killed_at, milliseconds{4200});
}

// Guards against an accepted request without any answer at the end of a stop: it was read behind
// another one of its connection, and the process exited as soon as it had ended that one.
TEST_F(planned_stop, the_end_of_a_stop_answers_a_request_read_behind_another)
{
    start([](http_exchange& exchange) { return exchange.pause(seconds{12}); });
    const auto request = [](const std::string& id) {
        return fmt::format("POST /west-stream/x HTTP/1.1\r\nHost: h\r\n"
                           "X-Chicorylink-Request-Id: {}\r\nX-Chicorylink-Deadline-Ms: 15000\r\n"
                           "X-Chicorylink-Key: secret\r\nContent-Length: 5\r\n\r\norder",
                           id);
    };
    raw_response responses;
    std::thread caller([&] {
        responses = exchange_raw(fmt::format("{}:{}", east_vm, front_fleet::callers_port),
                                 request("id-1") + request("id-2"), seconds{11});
    });
    EXPECT_TRUE(wait_until([&] { return m_west->request_count("id-1") == 1; }, seconds{2}));
    m_fleet.at(east_vm).signal(SIGTERM);
    // The platform would kill it after eight seconds.
    EXPECT_EQ(m_fleet.at(east_vm).wait(seconds{8}), 0);
    caller.join();
    EXPECT_EQ(responses.response_count(), 2U);
    EXPECT_EQ(responses.status(), 502);
    EXPECT_NE(responses.bytes.find("HTTP/1.1 503"), std::string::npos) << responses.bytes;
    EXPECT_TRUE(responses.closed);
    EXPECT_EQ(m_west->request_count("id-2"), 0);
}

// Guards against requests that a VM accepts when callers have had their time to leave it: its
// signal was handled late, and it counted that time and the time to its exit from then.
TEST_F(planned_stop, counts_from_the_signal_and_not_from_its_handling)
{
    start([](http_exchange& exchange) {
        // The first one keeps the VM from exiting early.
        return exchange.pause(milliseconds{exchange.path() == "/unsafe/x" ? 3700 : 0}) &&
               exchange.send(exchange.response("done"));
    });
    connection kept;
    EXPECT_EQ(kept.perform(front_fleet::request(east_vm, "/safe/x", "id-1")).status, 200);
    reply last;
    std::thread caller([&] { last = perform(front_fleet::request(east_vm, "/unsafe/x", "id-2")); });
    EXPECT_TRUE(wait_until([&] { return m_east->request_count("id-2") == 1; }, seconds{2}));
    auto& vm = m_fleet.at(east_vm);
    EXPECT_TRUE(vm.pause());
    vm.signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds{450});
    vm.signal(SIGCONT);
    // Callers have three seconds from the signal.
    std::this_thread::sleep_for(milliseconds{2700});
    EXPECT_EQ(kept.perform(front_fleet::request(east_vm, "/safe/x", "id-3")).status, 503);
    EXPECT_EQ(kept.opened(), 1);
    caller.join();
    EXPECT_EQ(last.body, "done");
}

// Guards against streams that are reset although their callers still wait: several of them wait for
// the retry budget, room for one of them appears, and each takes it to be its own.
TEST_F(planned_stop, streams_that_wait_for_the_retry_budget_go_on_waiting_when_another_takes_it)
{
    constexpr int stream_count = 5;
    std::atomic<bool> is_broken = false;
    const auto script = [&](http_exchange& exchange) {
        if (!exchange.path().starts_with("/stream/")) {
            return exchange.send(exchange.response("done"));
        }
        exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n"));
        if (!exchange.header("Last-Event-Id").empty()) {
            return exchange.send(http_exchange::chunk(event(2)) + "0\r\n\r\n");
        }
        exchange.send(http_exchange::chunk(event(1)));
        return wait_until([&] { return is_broken.load(); }, seconds{3}) && false;
    };
    std::vector<std::unique_ptr<scripted_target>> targets;
    m_fleet.set_retry_slack(0);
    m_fleet.publish_config(1, {"secret"});
    for (int number = 0; number < 4 * stream_count; ++number) {
        targets.push_back(std::make_unique<scripted_target>(script));
        m_fleet.publish_target(fmt::format("i-{}", number), targets.back()->address(), "east-a");
    }
    // One of them places the requests of both.
    const std::array<const char*, 2> vms{east_vm, west_vm};
    for (const auto* ip : vms) {
        m_fleet.start(ip, "east");
    }
    for (const auto* ip : vms) {
        ASSERT_TRUE(wait_until([ip] { return front_fleet::is_ready(ip); }, seconds{10}));
    }
    ASSERT_TRUE(
        wait_until([] { return front_fleet::directory(east_vm, "east").size() == 2; }, seconds{5}));
    std::vector<reply> results(stream_count * vms.size());
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < results.size(); ++number) {
        callers.emplace_back([&, number] {
            results[number] = perform(front_fleet::request(vms.at(number % vms.size()), "/stream/x",
                                                           fmt::format("stream-{}", number)));
        });
    }
    const auto received = [&] {
        int sum = 0;
        for (const auto& target : targets) {
            sum += target->request_count();
        }
        return sum;
    };
    EXPECT_TRUE(wait_until([&] { return received() == 2 * stream_count; }, seconds{2}));
    std::this_thread::sleep_for(milliseconds{100});
    is_broken = true;
    std::array<connection, 2> kept;
    const auto send_others = [&](int first, int last) {
        for (int number = first; number < last; ++number) {
            for (std::size_t vm = 0; vm < vms.size(); ++vm) {
                const auto id = fmt::format("other-{}-{}", vm, number);
                EXPECT_EQ(
                    kept.at(vm).perform(front_fleet::request(vms.at(vm), "/safe/x", id)).status,
                    200);
            }
        }
    };
    // Each VM allows one retry per 6.25 requests.
    std::this_thread::sleep_for(milliseconds{400});
    send_others(0, 3);
    std::this_thread::sleep_for(milliseconds{600});
    send_others(3, 40);
    for (auto& caller : callers) {
        caller.join();
    }
    for (const auto& result : results) {
        EXPECT_TRUE(result.complete);
        EXPECT_EQ(result.body, event(1) + event(2));
    }
}

// Guards against a stream that is reset because its target breaks off in a moment in which neither
// the store nor a peer confirms the caller's key.
TEST_F(planned_stop, a_stream_waits_while_its_key_is_unconfirmed)
{
    std::atomic<bool> is_broken = false;
    start([&](http_exchange& exchange) {
        exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n"));
        if (!exchange.header("Last-Event-Id").empty()) {
            return exchange.send(http_exchange::chunk(event(event_count)) + "0\r\n\r\n");
        }
        for (int number = 1; !is_broken; ++number) {
            if (!exchange.send(http_exchange::chunk(event(number))) ||
                !exchange.pause(milliseconds{200})) {
                return false;
            }
        }
        return false;
    });
    auto outgoing = front_fleet::request(west_vm, "/west-stream/x", "id-1");
    outgoing.headers[2] = "X-Chicorylink-Deadline-Ms: 15000";
    reply result;
    std::thread caller([&] { result = perform(outgoing); });
    EXPECT_TRUE(wait_until([&] { return m_west->request_count("id-1") == 1; }, seconds{2}));
    m_fleet.store().set_read_mode(stand_ins::published_store::read_mode::refuse);
    std::this_thread::sleep_for(front_fleet::withdrawal_bound);
    EXPECT_EQ(perform(front_fleet::request(west_vm, "/safe/x", "id-2")).status, 503);
    is_broken = true;
    std::this_thread::sleep_for(milliseconds{500});
    m_fleet.store().set_read_mode(stand_ins::published_store::read_mode::normal);
    caller.join();
    EXPECT_TRUE(result.complete);
    EXPECT_TRUE(result.body.ends_with(event(event_count)));
}

} // namespace
} // namespace chicorylink::process_tests
