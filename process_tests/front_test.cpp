// Daemons of the users' platform as separate processes with a stand-in store and targets.

#include "child_process.hpp"
#include "fleet.hpp"
#include "front_fleet.hpp"
#include "http_call.hpp"
#include "stand_ins/http_server.hpp"
#include "suite.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using stand_ins::http_request;
using stand_ins::http_response;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time within which a change must be in force, as documented for the smallest deployment.
constexpr milliseconds change_bound{3000};

/// A target that puts its name into its responses and counts the requests that it ran.
class counting_target {
public:
    explicit counting_target(std::string name)
        : m_name(std::move(name)),
          m_server("127.0.0.1:0",
                   {[this](const http_request& incoming) { return run(incoming); }, {}})
    {
    }

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::string& address() const { return m_server.address(); }

    /// The number of runs of the request with an id at this target.
    [[nodiscard]] int runs(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[id];
    }
    [[nodiscard]] http_request last()
    {
        const std::lock_guard lock(m_mutex);
        return m_last;
    }

    std::atomic<int> processing_ms{0};
    /// Runs requests but closes their connections without a response.
    std::atomic<bool> drop_responses{false};
    /// Aborts the next stream after this many events; 0 for none.
    std::atomic<int> abort_stream_after{0};
    static constexpr int events = 6;

private:
    http_response run(const http_request& incoming)
    {
        const std::string id{incoming.header("X-Chicorylink-Request-Id")};
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[id];
            m_last = incoming;
        }
        std::this_thread::sleep_for(milliseconds{processing_ms.load()});
        http_response response;
        response.headers = {{"X-Chicorylink-Request-Id", id},
                            {"X-Chicorylink-Server-Stamp", m_name},
                            {"X-Chicorylink-Server-Load", "1,0,6"}};
        response.drop = drop_responses;
        if (incoming.path.starts_with("/stream/")) {
            stream(response, incoming);
        }
        else {
            response.body = "ran at " + m_name;
        }
        return response;
    }

    void stream(http_response& response, const http_request& incoming)
    {
        const auto from = incoming.header("Last-Event-Id");
        auto next = std::make_shared<int>(from.empty() ? 1 : std::stoi(std::string{from}) + 1);
        const int abort_after = abort_stream_after.exchange(0);
        response.content_type = "text/event-stream";
        response.broken = std::make_shared<bool>(false);
        response.next_chunk = [next, abort_after,
                               broken = response.broken]() -> std::optional<std::string> {
            if (*next > events) {
                return std::nullopt;
            }
            if (abort_after > 0 && *next > abort_after) {
                // Sends half an event, then closes the connection.
                if (std::exchange(*broken, true)) {
                    return std::nullopt;
                }
                return "id: 99\nda";
            }
            std::this_thread::sleep_for(milliseconds{10});
            const int number = (*next)++;
            return fmt::format("id: {}\ndata: {}\n\n", number, number);
        };
    }

    std::string m_name;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    http_request m_last;
    stand_ins::http_server m_server;
};

/// Two regions, `east` with two VMs and `west` with one, and a target in each region.
class front : public testing::Test {
protected:
    void SetUp() override
    {
        m_fleet.publish_config(1, {"secret"});
        m_fleet.publish_target(m_east.name(), m_east.address(), "east-a");
        m_fleet.publish_target(m_west.name(), m_west.address(), "west-a");
        m_fleet.start("127.0.1.1", "east");
        m_fleet.start("127.0.1.2", "east");
        m_fleet.start("127.0.1.3", "west");
        for (const auto& [ip, process] : m_fleet.vms()) {
            ASSERT_TRUE(wait_until([at = ip] { return is_ready(at); }, seconds{10})) << ip;
        }
        ASSERT_TRUE(wait_until(
            [] {
                return directory("127.0.1.1", "west") ==
                       nlohmann::json::array(
                           {fmt::format("127.0.1.3:{}", front_fleet::callers_port)});
            },
            seconds{5}));
    }

    [[nodiscard]] static bool is_ready(const std::string& ip) { return front_fleet::is_ready(ip); }
    [[nodiscard]] static nlohmann::json directory(const std::string& ip, const std::string& region)
    {
        return front_fleet::directory(ip, region);
    }
    [[nodiscard]] static call request(const std::string& ip, const std::string& path,
                                      const std::string& id, const std::string& key = "secret")
    {
        return front_fleet::request(ip, path, id, key);
    }

    counting_target m_east{"i-east"};
    counting_target m_west{"i-west"};
    front_fleet m_fleet{binaries(), "chicorylink_front"};
};

TEST_F(front, serves_and_hides_the_key_from_the_target)
{
    const auto result = perform(request("127.0.1.1", "/unsafe/x", "id-1"));
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "ran at i-east");
    EXPECT_EQ(result.header("x-chicorylink-server-stamp"), "i-east");
    const auto target_request = m_east.last();
    EXPECT_EQ(target_request.body, "order");
    EXPECT_EQ(target_request.header("X-Chicorylink-Tenant"), "cards");
    EXPECT_EQ(target_request.header("X-Chicorylink-Expect-Instance"), "i-east");
    EXPECT_EQ(target_request.header("X-Chicorylink-Key"), "");
    EXPECT_EQ(perform(request("127.0.1.1", "/unsafe/x", "id-2", "wrong")).status, 401);
    EXPECT_EQ(perform(request("127.0.1.1", "/none/x", "id-3")).status, 404);
}

TEST_F(front, a_request_runs_in_its_own_regions_only)
{
    // A VM that has no report of the other region yet responds 503, and the caller retries.
    reply result;
    EXPECT_TRUE(wait_until(
        [&] {
            result = perform(request("127.0.1.2", "/west/x", "id-1"));
            return result.status != 503;
        },
        seconds{2}));
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(result.body, "ran at i-west");
    EXPECT_EQ(m_east.runs("id-1"), 0);
}

TEST_F(front, a_lost_answer_is_never_run_again_when_it_may_not_be)
{
    m_east.drop_responses = true;
    m_west.drop_responses = true;
    const auto result = perform(request("127.0.1.1", "/unsafe/x", "id-1"));
    EXPECT_EQ(result.status, 502);
    EXPECT_EQ(m_east.runs("id-1") + m_west.runs("id-1"), 1);
    const auto repeated = perform(request("127.0.1.1", "/safe/x", "id-2"));
    EXPECT_EQ(repeated.status, 502);
    EXPECT_EQ(m_east.runs("id-2") + m_west.runs("id-2"), 2);
}

TEST_F(front, a_broken_stream_goes_on_at_the_next_event)
{
    m_east.abort_stream_after = 3;
    const auto result = perform(request("127.0.1.1", "/stream/x", "id-1"));
    EXPECT_EQ(result.status, 200);
    EXPECT_TRUE(result.complete);
    std::string expected;
    for (int number = 1; number <= counting_target::events; ++number) {
        expected += fmt::format("id: {}\ndata: {}\n\n", number, number);
    }
    EXPECT_EQ(result.body, expected);
}

// Each VM watches the store by itself, so one may apply a change some milliseconds after another.
// All must have applied it when the bound has passed since the publication.
TEST_F(front, a_withdrawn_key_stops_working_on_an_open_connection)
{
    connection client;
    connection client_in_west;
    EXPECT_EQ(client.perform(request("127.0.1.2", "/safe/x", "id-1")).status, 200);
    EXPECT_EQ(client_in_west.perform(request("127.0.1.3", "/safe/x", "id-2")).status, 200);
    m_fleet.publish_config(2, {"other"});
    const auto published_at = std::chrono::steady_clock::now();
    EXPECT_TRUE(wait_until(
        [&] { return client.perform(request("127.0.1.2", "/safe/x", "id-3")).status == 401; },
        change_bound));
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - published_at);
    EXPECT_TRUE(wait_until(
        [] { return perform(request("127.0.1.3", "/safe/x", "id-4", "other")).status == 200; },
        change_bound - elapsed));
    EXPECT_EQ(client_in_west.perform(request("127.0.1.3", "/safe/x", "id-5")).status, 401);
    EXPECT_EQ(client.perform(request("127.0.1.2", "/safe/x", "id-6", "other")).status, 200);
}

TEST_F(front, keyed_requests_stop_when_nothing_confirms_the_keys)
{
    m_fleet.store().set_read_mode(stand_ins::published_store::read_mode::unresponsive);
    // Requests must not stop much before the bound: a short outage of the store has no effect.
    std::this_thread::sleep_for(seconds{3});
    EXPECT_EQ(perform(request("127.0.1.1", "/safe/x", "id-0")).status, 200);
    std::this_thread::sleep_for(front_fleet::withdrawal_bound - seconds{3} - milliseconds{200});
    for (const auto* ip : {"127.0.1.1", "127.0.1.2", "127.0.1.3"}) {
        const auto result = perform(request(ip, "/safe/x", "id-1"));
        EXPECT_EQ(result.status, 503);
        EXPECT_FALSE(result.header("retry-after").empty());
        EXPECT_FALSE(is_ready(ip));
    }
    EXPECT_EQ(m_east.runs("id-1"), 0);
    m_fleet.store().set_read_mode(stand_ins::published_store::read_mode::normal);
    EXPECT_TRUE(wait_until(
        [] { return perform(request("127.0.1.1", "/safe/x", "id-2")).status == 200; }, seconds{5}));
}

TEST_F(front, forgotten_history_is_replaced_by_a_snapshot)
{
    m_fleet.store().compact_history();
    m_fleet.publish_config(2, {"other"});
    EXPECT_TRUE(wait_until(
        [] { return perform(request("127.0.1.1", "/safe/x", "id", "other")).status == 200; },
        change_bound));
}

TEST_F(front, a_removed_target_gets_no_more_requests)
{
    m_fleet.store().remove("servers/i-east");
    EXPECT_TRUE(wait_until(
        [] { return perform(request("127.0.1.2", "/safe/x", "id")).body == "ran at i-west"; },
        change_bound));
}

TEST_F(front, a_stop_finishes_what_runs_and_leaves_the_directory)
{
    m_east.processing_ms = 1500;
    reply result;
    std::thread caller([&] { result = perform(request("127.0.1.1", "/unsafe/x", "id-1")); });
    EXPECT_TRUE(wait_until([&] { return m_east.runs("id-1") == 1; }, seconds{2}));
    m_fleet.at("127.0.1.1").signal(SIGTERM);
    EXPECT_TRUE(wait_until([] { return !is_ready("127.0.1.1"); }, seconds{1}));
    EXPECT_TRUE(wait_until([] { return directory("127.0.1.2", "east").size() == 1; }, seconds{2}));
    caller.join();
    EXPECT_EQ(result.status, 200);
    EXPECT_EQ(m_fleet.at("127.0.1.1").wait(seconds{8}), 0);
}

// Callers that can't move to another VM keep sending to a leaving VM. It must still stop in time,
// with every request answered, rather than stay busy until it is killed.
TEST_F(front, a_leaving_vm_stops_in_time_while_callers_keep_sending)
{
    m_east.processing_ms = 700;
    std::atomic<bool> stop{false};
    std::atomic<int> unanswered{0};
    constexpr int callers_at_once = 8;
    std::vector<std::thread> callers;
    callers.reserve(callers_at_once);
    for (int number = 0; number < callers_at_once; ++number) {
        callers.emplace_back([&, number] {
            connection client;
            for (int turn = 0; !stop; ++turn) {
                const auto id = fmt::format("id-{}-{}", number, turn);
                const auto result = client.perform(request("127.0.1.1", "/unsafe/x", id));
                // After the process has exited, connections are refused and nothing runs.
                if (result.status == 0 && m_east.runs(id) > 0) {
                    ++unanswered;
                }
            }
        });
    }
    std::this_thread::sleep_for(milliseconds{500});
    m_fleet.at("127.0.1.1").signal(SIGTERM);
    EXPECT_EQ(m_fleet.at("127.0.1.1").wait(seconds{6}), 0);
    stop = true;
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_EQ(unanswered, 0);
}

TEST_F(front, a_killed_vm_leaves_the_directory_and_comes_back)
{
    m_fleet.at("127.0.1.2").kill();
    EXPECT_TRUE(wait_until([] { return directory("127.0.1.1", "east").size() == 1; }, seconds{5}));
    m_fleet.start("127.0.1.2", "east");
    EXPECT_TRUE(wait_until([] { return directory("127.0.1.1", "east").size() == 2; }, seconds{5}));
}

TEST_F(front, a_request_with_two_lengths_is_refused)
{
    auto ambiguous = request("127.0.1.1", "/unsafe/x", "id-1");
    ambiguous.headers.emplace_back("Transfer-Encoding: chunked");
    ambiguous.headers.emplace_back("Content-Length: 5");
    const auto result = perform(ambiguous);
    EXPECT_EQ(result.status, 400);
    EXPECT_EQ(m_east.runs("id-1"), 0);
}

} // namespace
} // namespace chicorylink::process_tests
