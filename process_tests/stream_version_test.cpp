// Streams of a service whose targets run two versions of its software: what the two write doesn't
// fit together.

#include "front_fleet.hpp"
#include "http_call.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <set>
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

constexpr const char* first_vm = "127.0.27.1";
constexpr const char* second_vm = "127.0.27.2";
constexpr const char* third_vm = "127.0.27.3";

constexpr const char* old_version = "v1";
constexpr const char* new_version = "v2";

/// Enough that choosing a target without regard to its version shows.
constexpr int stream_count = 6;
constexpr int targets_per_version = 2;
constexpr int event_count = 6;
/// Events of a stream before its target waits for the test.
constexpr int first_events = 2;

std::set<std::string> versions_in(const std::string& body)
{
    std::set<std::string> found;
    for (const auto* version : {old_version, new_version}) {
        if (body.find(version) != std::string::npos) {
            found.insert(version);
        }
    }
    return found;
}

class stream_version : public testing::Test {
protected:
    /// Publishes targets whose events name their version.
    void serve(const std::string& version, const std::string& zone, int count = targets_per_version)
    {
        for (int number = 0; number < count; ++number) {
            m_targets.push_back(
                std::make_unique<scripted_target>([this, version](http_exchange& exchange) {
                    return send_stream(exchange, version);
                }));
            m_fleet.publish_target(fmt::format("i-{}", m_targets.size()),
                                   m_targets.back()->address(), zone, 1, version);
        }
    }

    /// Sends events from behind the last one that the request names. A new stream stops behind its
    /// first ones until the test breaks it or lets it end.
    bool send_stream(http_exchange& exchange, const std::string& version)
    {
        const auto last = exchange.header("Last-Event-Id");
        bool is_connected = exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                                        "Transfer-Encoding: chunked\r\n"));
        const int first = last.empty() ? 1 : std::stoi(last) + 1;
        const int end = last.empty() ? first_events : event_count;
        for (int number = first; number <= end && is_connected; ++number) {
            is_connected = exchange.send(
                http_exchange::chunk(fmt::format("id: {}\ndata: {}\n\n", number, version)));
        }
        if (!last.empty()) {
            return is_connected && exchange.send("0\r\n\r\n");
        }
        while (is_connected && !m_is_broken && !m_may_end) {
            is_connected = exchange.pause(milliseconds{20});
        }
        return is_connected && m_may_end && exchange.send("0\r\n\r\n");
    }

    void start(const std::vector<std::string>& ips, const std::string& region)
    {
        for (const auto& ip : ips) {
            m_fleet.start(ip, region);
        }
        for (const auto& ip : ips) {
            ASSERT_TRUE(wait_until([&ip] { return front_fleet::is_ready(ip); }, seconds{10}));
        }
        for (const auto& ip : ips) {
            ASSERT_TRUE(
                wait_until([&] { return front_fleet::directory(ip, region).size() == ips.size(); },
                           seconds{5}));
        }
    }

    /// Begins a stream and leaves it behind its first events.
    reply begin_stream(const std::string& ip, const std::string& id)
    {
        auto outgoing = front_fleet::request(ip, "/stream/x", id);
        std::string received;
        outgoing.on_data = [&received](const std::string& piece) {
            received += piece;
            return received.find("id: 2") == std::string::npos;
        };
        auto result = perform(outgoing);
        result.body = received;
        return result;
    }

    static call take_up_request(const std::string& ip, const std::string& id)
    {
        auto outgoing = front_fleet::request(ip, "/stream/x", id + "-again");
        outgoing.headers.emplace_back(fmt::format("Last-Event-Id: {}", first_events));
        outgoing.headers.emplace_back("Resumes: " + id);
        return outgoing;
    }

    /// Checks that a stream goes on at a VM to its end, at the version that began it.
    static void expect_taken_up(const std::string& ip, const std::string& id, const reply& begun)
    {
        const auto result = perform(take_up_request(ip, id));
        EXPECT_EQ(result.status, 200) << result.body;
        EXPECT_TRUE(result.complete);
        EXPECT_EQ(versions_in(begun.body).size(), 1U);
        EXPECT_EQ(versions_in(result.body), versions_in(begun.body));
    }

    /// Time in which VMs tell each other what they know of a stream.
    static void let_news_spread() { std::this_thread::sleep_for(milliseconds{200}); }

    std::atomic<bool> m_is_broken = false;
    std::atomic<bool> m_may_end = false;
    std::vector<std::unique_ptr<scripted_target>> m_targets;
    front_fleet m_fleet{binaries(), "chicorylink_stream_version"};
};

// Guards against one answer joined from two versions: the target of a stream broke off, and any
// other target of the service continued it.
TEST_F(stream_version, an_answer_goes_on_only_at_its_version)
{
    m_fleet.publish_config(1, {"secret"});
    serve(old_version, "east-a");
    serve(new_version, "east-a");
    start({first_vm}, "east");
    for (int number = 0; number < stream_count; ++number) {
        m_is_broken = false;
        reply result;
        std::thread caller([&] {
            result =
                perform(front_fleet::request(first_vm, "/stream/x", fmt::format("id-{}", number)));
        });
        std::this_thread::sleep_for(milliseconds{150});
        m_is_broken = true;
        caller.join();
        EXPECT_TRUE(result.complete);
        EXPECT_EQ(versions_in(result.body).size(), 1U) << result.body;
    }
}

// Guards against a stream that a caller takes up at another VM and that goes on at any version.
TEST_F(stream_version, a_take_up_at_another_vm_goes_on_at_the_version_that_began)
{
    m_fleet.publish_config(1, {"secret"});
    serve(old_version, "east-a");
    serve(new_version, "east-a");
    start({first_vm, second_vm}, "east");
    for (int number = 0; number < stream_count; ++number) {
        const auto id = fmt::format("id-{}", number);
        const auto begun = begin_stream(first_vm, id);
        let_news_spread();
        expect_taken_up(second_vm, id, begun);
    }
}

// Guards against a VM that stood still while targets of a new version joined: it took the only
// version that it knew for that of a stream that had begun at a new target.
TEST_F(stream_version, a_vm_that_stood_still_does_not_continue_a_new_stream_at_the_old_version)
{
    m_fleet.publish_config(1, {"secret"});
    serve(old_version, "east-a", 2 * targets_per_version);
    start({first_vm, second_vm}, "east");
    ASSERT_TRUE(m_fleet.at(second_vm).pause());
    serve(new_version, "east-a");
    std::vector<std::string> ids;
    for (int number = 0; number < 100 && ids.size() < stream_count; ++number) {
        const auto id = fmt::format("id-{}", number);
        if (versions_in(begin_stream(first_vm, id).body).contains(new_version)) {
            ids.push_back(id);
        }
    }
    ASSERT_EQ(ids.size(), std::size_t{stream_count});
    std::vector<reply> results(ids.size());
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < ids.size(); ++number) {
        callers.emplace_back(
            [&, number] { results[number] = perform(take_up_request(second_vm, ids[number])); });
    }
    std::this_thread::sleep_for(milliseconds{150});
    m_fleet.at(second_vm).signal(SIGCONT);
    for (auto& caller : callers) {
        caller.join();
    }
    for (const auto& result : results) {
        EXPECT_FALSE(versions_in(result.body).contains(old_version)) << result.body;
        EXPECT_TRUE(result.status == 503 || result.complete) << result.status;
    }
    EXPECT_TRUE(wait_until(
        [&] {
            const auto repeated = perform(take_up_request(second_vm, ids.front()));
            EXPECT_FALSE(versions_in(repeated.body).contains(old_version)) << repeated.body;
            return repeated.status == 200;
        },
        seconds{3}));
}

// Guards against streams joined from two versions after all VMs were killed at once: none of them
// knew the version of a stream any more.
TEST_F(stream_version, after_all_vms_were_killed_a_stream_of_unknown_version_is_refused)
{
    m_fleet.publish_config(1, {"secret"});
    serve(old_version, "east-a");
    serve(new_version, "east-a");
    start({first_vm, second_vm}, "east");
    const auto begun = begin_stream(first_vm, "id-1");
    EXPECT_EQ(versions_in(begun.body).size(), 1U);
    m_fleet.at(first_vm).kill();
    m_fleet.at(second_vm).kill();
    start({first_vm, second_vm}, "east");
    for (const auto* ip : {first_vm, second_vm}) {
        const auto result = perform(take_up_request(ip, "id-1"));
        EXPECT_EQ(result.status, 503) << result.body;
        EXPECT_FALSE(result.header("retry-after").empty());
    }
}

// Guards against streams that are lost after all VMs were killed although only one version has been
// in service for long.
TEST_F(stream_version, after_all_vms_were_killed_a_stream_of_the_only_version_goes_on)
{
    m_fleet.publish_config(1, {"secret"});
    serve(old_version, "east-a");
    start({first_vm, second_vm}, "east");
    const auto begun = begin_stream(first_vm, "id-1");
    m_fleet.at(first_vm).kill();
    m_fleet.at(second_vm).kill();
    start({first_vm, second_vm}, "east");
    for (const auto* ip : {first_vm, second_vm}) {
        expect_taken_up(ip, "id-1", begun);
    }
}

// Guards against a forwarded stream that goes on at another version when the VM to which it was
// forwarded is killed, or when its target breaks off.
TEST_F(stream_version, a_forwarded_stream_goes_on_only_at_its_version)
{
    m_fleet.publish_config(1, {"secret"});
    serve(old_version, "west-a");
    serve(new_version, "west-a");
    start({first_vm, second_vm}, "west");
    m_fleet.start(third_vm, "east");
    ASSERT_TRUE(wait_until(
        [] {
            return front_fleet::is_ready(third_vm) &&
                   front_fleet::directory(third_vm, "west").size() == 2;
        },
        seconds{10}));
    for (const bool is_vm_killed : {false, true}) {
        m_is_broken = false;
        std::vector<reply> results(stream_count);
        std::vector<std::thread> callers;
        for (std::size_t number = 0; number < results.size(); ++number) {
            callers.emplace_back([&results, number, is_vm_killed] {
                const auto id = fmt::format("id-{}-{}", is_vm_killed, number);
                results[number] = perform(front_fleet::request(third_vm, "/west-stream/x", id));
            });
        }
        std::this_thread::sleep_for(milliseconds{400});
        if (is_vm_killed) {
            m_fleet.at(first_vm).kill();
            std::this_thread::sleep_for(milliseconds{400});
            // No other VM is left to which those at the second one could go.
            m_may_end = true;
        }
        else {
            m_is_broken = true;
        }
        for (auto& caller : callers) {
            caller.join();
        }
        for (const auto& result : results) {
            EXPECT_TRUE(result.complete);
            EXPECT_EQ(versions_in(result.body).size(), 1U) << result.body;
        }
    }
}

// Guards against a stream whose version is forgotten with the VM that began it.
TEST_F(stream_version, a_take_up_goes_on_after_the_vm_that_began_the_stream_was_killed)
{
    m_fleet.publish_config(1, {"secret"});
    serve(old_version, "east-a");
    serve(new_version, "east-a");
    start({first_vm, second_vm, third_vm}, "east");
    std::vector<reply> begun;
    begun.reserve(stream_count);
    for (int number = 0; number < stream_count; ++number) {
        begun.push_back(begin_stream(first_vm, fmt::format("id-{}", number)));
    }
    let_news_spread();
    m_fleet.at(first_vm).kill();
    for (int number = 0; number < stream_count; ++number) {
        const auto* ip = number % 2 == 0 ? second_vm : third_vm;
        expect_taken_up(ip, fmt::format("id-{}", number),
                        begun.at(static_cast<std::size_t>(number)));
    }
}

} // namespace
} // namespace chicorylink::process_tests
