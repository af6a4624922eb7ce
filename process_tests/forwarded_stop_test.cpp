// Requests that wait at a VM of another region as that VM is stopped.

#include "front_fleet.hpp"
#include "http_call.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using http_exchange = scripted_target::http_exchange;

constexpr const char* east_vm = "127.0.29.1";
constexpr const char* west_vm = "127.0.29.2";
constexpr const char* other_west_vm = "127.0.29.3";

/// Longer than the grace of a stop.
constexpr milliseconds long_work{10'000};
/// The platform kills a process that has not exited by then.
constexpr seconds grace{8};

std::string event(int number)
{
    return fmt::format("id: {}\ndata: {}\n\n", number, number);
}

std::string events(int last)
{
    std::string body;
    for (int number = 1; number <= last; ++number) {
        body += event(number);
    }
    return body;
}

bool send_stream_head(http_exchange& exchange)
{
    return exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n"));
}

/// Sends a stream from behind the last event that the request names.
bool send_stream(http_exchange& exchange, int event_count, milliseconds interval)
{
    const auto last = exchange.header("Last-Event-Id");
    bool is_connected = send_stream_head(exchange);
    for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= event_count && is_connected;
         ++number) {
        is_connected =
            exchange.send(http_exchange::chunk(event(number))) && exchange.pause(interval);
    }
    return is_connected && exchange.send("0\r\n\r\n");
}

/// One VM in `east`, whose callers' requests run in `west` only, and two VMs there.
class forwarded_stop : public testing::Test {
protected:
    void start(const scripted_target::script& script, bool has_other_vm)
    {
        m_target = std::make_unique<scripted_target>(script);
        const auto route = [](const std::string& kind, bool is_resumable) {
            return nlohmann::json{{"name", kind},
                                  {"host", "h"},
                                  {"pathPrefix", "/" + kind + "/"},
                                  {"kind", kind},
                                  {"timeoutMs", 15'000},
                                  {"goalMs", 400},
                                  {"gapGoalMs", 400},
                                  {"service", "app"},
                                  {"maxAttempts", 3},
                                  {"public", false},
                                  {"resumable", is_resumable},
                                  {"allowedRegions", {"west"}}};
        };
        m_fleet.store().put(
            "op/config", nlohmann::json{{"version", 1},
                                        {"routes",
                                         {route("safe", false), route("unsafe", false),
                                          route("streaming", true)}},
                                        {"services", {m_service}},
                                        {"tenants", {{{"name", "cards"}, {"apiKeys", {"secret"}}}}}}
                             .dump());
        m_fleet.publish_target("i-west", m_target->address(), "west-a");
        start_vm(east_vm, "east");
        start_vm(west_vm, "west");
        if (has_other_vm) {
            start_vm(other_west_vm, "west");
        }
        await_west_vms(has_other_vm ? 2 : 1);
    }

    void start_vm(const char* ip, const std::string& region)
    {
        m_fleet.start(ip, region);
        ASSERT_TRUE(wait_until([ip] { return front_fleet::is_ready(ip); }, seconds{10}));
    }

    static void await_west_vms(std::size_t count)
    {
        ASSERT_TRUE(
            wait_until([count] { return front_fleet::directory(east_vm, "west").size() == count; },
                       seconds{5}));
    }

    static call request(const std::string& kind, const std::string& id)
    {
        auto outgoing = front_fleet::request(east_vm, "/" + kind + "/x", id);
        outgoing.headers[2] = "X-Chicorylink-Deadline-Ms: 15000";
        return outgoing;
    }

    nlohmann::json m_service{{"name", "app"}, {"maxConns", 100}};
    std::unique_ptr<scripted_target> m_target;
    front_fleet m_fleet{binaries(), "chicorylink_forwarded_stop"};
};

constexpr std::array<const char*, 3> kinds{"safe", "unsafe", "streaming"};

// Guards against requests that end without an answer because the only VM of the region at which
// they wait ends its stop while their target is at work.
TEST_F(forwarded_stop, every_request_that_waits_at_the_last_vm_of_its_region_is_answered)
{
    constexpr int count = 12;
    start([](http_exchange& exchange) { return exchange.pause(long_work); }, false);
    std::array<reply, count> results;
    std::vector<std::thread> callers;
    callers.reserve(count);
    for (int number = 0; number < count; ++number) {
        callers.emplace_back([&, number] {
            results.at(number) =
                perform(request(kinds.at(number % kinds.size()), fmt::format("id-{}", number)));
        });
    }
    EXPECT_TRUE(wait_until([&] { return m_target->request_count() > 0; }, seconds{2}));
    std::this_thread::sleep_for(milliseconds{300});
    m_fleet.at(west_vm).signal(SIGTERM);
    EXPECT_EQ(m_fleet.at(west_vm).wait(grace), 0);
    for (auto& caller : callers) {
        caller.join();
    }
    for (int number = 0; number < count; ++number) {
        const auto& result = results.at(number);
        EXPECT_TRUE(result.complete) << number;
        EXPECT_TRUE(result.status == 502 || result.status == 503) << number << ' ' << result.status;
    }
}

// The same with another VM in the region: what may be repeated is served there.
TEST_F(forwarded_stop, requests_that_may_be_repeated_go_on_at_another_vm_of_the_region)
{
    std::atomic<bool> is_stopped{false};
    start(
        [&](http_exchange& exchange) {
            const bool is_first = !is_stopped;
            if (exchange.path().starts_with("/streaming/")) {
                return (!is_first || exchange.pause(long_work)) &&
                       send_stream(exchange, 3, milliseconds{10});
            }
            return (!is_first || exchange.pause(long_work)) &&
                   exchange.send(exchange.response("done"));
        },
        true);
    constexpr int count = 24;
    std::array<reply, count> results;
    std::vector<std::thread> callers;
    callers.reserve(count);
    for (int number = 0; number < count; ++number) {
        callers.emplace_back([&, number] {
            results.at(number) =
                perform(request(kinds.at(number % kinds.size()), fmt::format("id-{}", number)));
        });
    }
    EXPECT_TRUE(wait_until([&] { return m_target->request_count() > 0; }, seconds{2}));
    std::this_thread::sleep_for(milliseconds{300});
    m_fleet.at(west_vm).signal(SIGTERM);
    std::this_thread::sleep_for(seconds{1});
    is_stopped = true;
    EXPECT_EQ(m_fleet.at(west_vm).wait(grace), 0);
    for (auto& caller : callers) {
        caller.join();
    }
    for (int number = 0; number < count; ++number) {
        const auto& result = results.at(number);
        EXPECT_TRUE(result.complete) << number;
        // Some wait at the VM that goes on, and their target takes its whole time.
        if (std::string_view{kinds.at(number % kinds.size())} != "unsafe") {
            EXPECT_TRUE(result.status == 200 || result.status == 503) << number << result.status;
        }
        EXPECT_NE(result.status, 0) << number;
    }
}

// Guards against requests without an answer in the moments of another VM's stop: as it is
// signaled, stops taking requests, ends them and exits. Short requests come all the while.
TEST_F(forwarded_stop, no_request_ends_without_an_answer_while_vms_of_its_region_are_replaced)
{
    start(
        [](http_exchange& exchange) {
            if (exchange.path().starts_with("/streaming/")) {
                return send_stream(exchange, 5, milliseconds{20});
            }
            return exchange.pause(milliseconds{exchange.id().size() % 2 == 0 ? 5 : 80}) &&
                   exchange.send(exchange.response("done"));
        },
        true);
    std::atomic<bool> is_over{false};
    std::mutex mutex;
    std::map<std::string, int> outcomes;
    std::vector<std::thread> callers;
    callers.reserve(12);
    for (int number = 0; number < 12; ++number) {
        callers.emplace_back([&, number] {
            connection kept;
            const std::string kind = kinds.at(number % kinds.size());
            for (int round = 0; !is_over; ++round) {
                const auto id = fmt::format("id-{}-{}", number, round);
                const auto outgoing = request(kind, id);
                const auto result = number < 6 ? kept.perform(outgoing) : perform(outgoing);
                const std::lock_guard lock(mutex);
                ++outcomes[fmt::format("{} {}{}", kind, result.status,
                                       result.complete ? "" : " cut")];
                std::this_thread::sleep_for(milliseconds{5});
            }
        });
    }
    for (int round = 0; round < 3; ++round) {
        for (const auto* ip : {west_vm, other_west_vm}) {
            m_fleet.at(ip).signal(SIGTERM);
            EXPECT_EQ(m_fleet.at(ip).wait(grace), 0);
            start_vm(ip, "west");
            await_west_vms(2);
        }
    }
    is_over = true;
    for (auto& caller : callers) {
        caller.join();
    }
    for (const auto& [outcome, count] : outcomes) {
        const bool is_expected =
            outcome.ends_with(" 200") || outcome.ends_with(" 503") || outcome.ends_with(" 429");
        EXPECT_TRUE(is_expected) << outcome << ": " << count;
    }
}

// Guards against a stream that is cut although the only VM of its region, and its target there, are
// ready again at once: a VM through which an attempt has failed counts as tried for good.
TEST_F(forwarded_stop, a_stream_goes_on_at_the_only_vm_of_its_region_after_its_target_broke_off)
{
    std::atomic<int> count{0};
    start(
        [&](http_exchange& exchange) {
            if (count++ == 0) {
                return send_stream_head(exchange) &&
                       exchange.send(http_exchange::chunk(event(1))) && false;
            }
            return send_stream(exchange, 3, milliseconds{10});
        },
        false);
    const auto result = perform(request("streaming", "id-1"));
    EXPECT_EQ(result.status, 200);
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.body, events(3));
}

// Guards against a stream that is cut although the VM of its region has room again at once: one
// that has refused it in one moment counts as tried for good. The refusal comes behind a planned
// stop.
TEST_F(forwarded_stop, a_stream_goes_on_at_a_vm_that_refused_it_in_the_moment_of_its_start)
{
    std::atomic<bool> has_refused{false};
    start(
        [&](http_exchange& exchange) {
            if (!exchange.header("Last-Event-Id").empty() && !has_refused.exchange(true)) {
                return exchange.send(fmt::format(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Chicorylink-Request-Id: {}\r\n"
                    "X-Chicorylink-Not-Run: full\r\nContent-Length: 0\r\n\r\n",
                    exchange.id()));
            }
            return send_stream(exchange, 50, milliseconds{200});
        },
        false);
    reply result;
    std::thread caller([&] { result = perform(request("streaming", "id-1")); });
    EXPECT_TRUE(wait_until([&] { return m_target->request_count("id-1") == 1; }, seconds{2}));
    m_fleet.at(west_vm).signal(SIGTERM);
    EXPECT_EQ(m_fleet.at(west_vm).wait(grace), 0);
    m_fleet.start(west_vm, "west");
    caller.join();
    EXPECT_TRUE(has_refused);
    EXPECT_TRUE(result.complete);
    EXPECT_EQ(result.body, events(50));
}

// Guards against streams that are cut at the end of another VM's stop because the VM that could go
// on with them takes them for new ones: it refuses them since all of their tokens, most of which
// their callers have, would not fit in the time that is left.
TEST_F(forwarded_stop, a_vm_goes_on_with_a_stream_whose_whole_length_would_not_fit)
{
    constexpr int event_count = 50;
    constexpr int stream_count = 6;
    m_service["engine"] = {{"kvTokens", 500'000}, {"stride", 1}};
    start(
        [](http_exchange& exchange) {
            return send_stream(exchange, event_count, milliseconds{200});
        },
        true);
    std::array<reply, stream_count> results;
    std::vector<std::thread> callers;
    callers.reserve(stream_count);
    for (int number = 0; number < stream_count; ++number) {
        callers.emplace_back([&, number] {
            auto outgoing = request("streaming", fmt::format("id-{}", number));
            outgoing.headers.emplace_back("X-Chicorylink-Token-Count: 160,50");
            outgoing.headers.emplace_back("X-Chicorylink-Length-Hint: 50");
            results.at(number) = perform(outgoing);
        });
    }
    EXPECT_TRUE(wait_until([&] { return m_target->request_count() == stream_count; }, seconds{2}));
    std::this_thread::sleep_for(milliseconds{500});
    m_fleet.at(west_vm).signal(SIGTERM);
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(m_fleet.at(west_vm).wait(grace), 0);
    // Some of them ran at the VM that was stopped.
    EXPECT_GT(m_target->request_count(), 0);
    for (int number = 0; number < stream_count; ++number) {
        EXPECT_TRUE(results.at(number).complete) << number;
        EXPECT_EQ(results.at(number).body, events(event_count)) << number;
    }
}

// Guards against requests without an answer that have arrived at a VM and are not read when its
// time to take requests, to end them or to exit has passed.
TEST_F(forwarded_stop, requests_that_wait_in_the_sockets_of_a_vm_are_answered)
{
    for (const auto pause : {seconds{1}, seconds{4}, seconds{8}}) {
        start([](http_exchange& exchange) { return exchange.send(exchange.response("done")); },
              false);
        constexpr int count = 12;
        std::array<reply, count> results;
        std::vector<std::thread> callers;
        callers.reserve(count);
        ASSERT_TRUE(m_fleet.at(west_vm).pause());
        for (int number = 0; number < count; ++number) {
            callers.emplace_back([&, number] {
                std::this_thread::sleep_for(milliseconds{20 * number});
                results.at(number) = perform(
                    request(number % 2 == 0 ? "safe" : "unsafe", fmt::format("id-{}", number)));
            });
        }
        m_fleet.at(west_vm).signal(SIGTERM);
        std::this_thread::sleep_for(pause);
        m_fleet.at(west_vm).signal(SIGCONT);
        EXPECT_TRUE(m_fleet.at(west_vm).wait(seconds{10}).has_value());
        for (auto& caller : callers) {
            caller.join();
        }
        for (int number = 0; number < count; ++number) {
            EXPECT_NE(results.at(number).status, 0) << pause.count() << ' ' << number;
            EXPECT_TRUE(results.at(number).complete) << pause.count() << ' ' << number;
        }
        m_fleet.end_all();
    }
}

} // namespace
} // namespace chicorylink::process_tests
