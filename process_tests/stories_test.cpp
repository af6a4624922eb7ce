// What operators of similar systems met: each story against running daemons. Those about answers
// and bytes of targets are in hostile_test.cpp.

#include "front_fleet.hpp"
#include "http_call.hpp"
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
using visit = scripted_target::visit;

constexpr const char* first_vm = "127.0.4.1";
constexpr const char* second_vm = "127.0.4.2";
constexpr const char* west_vm = "127.0.4.3";

std::string event(int number)
{
    return visit::chunk(fmt::format("id: {}\ndata: {}\n\n", number, number));
}

/// Two VMs in `east` and one in `west`; a target in each region, which the test scripts.
class stories : public testing::Test {
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

    [[nodiscard]] static reply ask(const std::string& ip, const std::string& path,
                                   const std::string& id)
    {
        return perform(front_fleet::request(ip, path, id));
    }
    [[nodiscard]] int arrivals(const std::string& id)
    {
        return m_east->arrivals(id) + m_west->arrivals(id);
    }

    std::unique_ptr<scripted_target> m_east;
    std::unique_ptr<scripted_target> m_west;
    front_fleet m_fleet{binaries(), "chicorylink_stories"};
};

// During a planned stop under load, requests that had just been accepted were cut off without an
// answer. Here each request comes on a connection of its own until none is accepted any more.
TEST_F(stories, a_stop_under_load_answers_whatever_was_accepted)
{
    start([](visit& one) { return one.pause(milliseconds{20}) && one.send(one.answer("done")); });
    std::atomic<bool> is_gone{false};
    std::atomic<int> answered{0};
    std::atomic<int> cut{0};
    std::vector<std::thread> callers;
    constexpr int callers_at_once = 12;
    callers.reserve(callers_at_once);
    for (int number = 0; number < callers_at_once; ++number) {
        callers.emplace_back([&, number] {
            for (int turn = 0; !is_gone; ++turn) {
                connection once;
                const auto id = fmt::format("id-{}-{}", number, turn);
                const auto answer = once.perform(front_fleet::request(first_vm, "/unsafe/x", id));
                if (answer.status != 0) {
                    ++answered;
                }
                else if (once.opened() > 0) {
                    // The connection was made and nothing came back.
                    ++cut;
                }
            }
        });
    }
    std::this_thread::sleep_for(milliseconds{500});
    m_fleet.at(first_vm).signal(SIGTERM);
    EXPECT_EQ(m_fleet.at(first_vm).wait(seconds{8}), 0);
    is_gone = true;
    for (auto& caller : callers) {
        caller.join();
    }
    EXPECT_GT(answered, 50);
    EXPECT_EQ(cut, 0);
}

// The process must not end while a slow caller still reads its answer.
TEST_F(stories, a_stop_waits_for_a_caller_that_reads_slowly)
{
    constexpr std::size_t size = 6UL * 1024 * 1024;
    start([](visit& one) { return one.send(one.answer(std::string(size, 'y'))); });
    auto slow = front_fleet::request(first_vm, "/unsafe/x", "id-1");
    slow.on_data = [](const std::string&) {
        std::this_thread::sleep_for(milliseconds{12});
        return true;
    };
    reply answer;
    std::thread caller([&] { answer = perform(slow); });
    EXPECT_TRUE(wait_until([&] { return arrivals("id-1") == 1; }, seconds{2}));
    m_fleet.at(first_vm).signal(SIGTERM);
    EXPECT_EQ(m_fleet.at(first_vm).wait(seconds{9}), 0);
    caller.join();
    EXPECT_EQ(answer.status, 200);
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body.size(), size);
}

// After an answer was lost, work that had run was run again, or the caller was told that it hadn't
// run: at the target, and on the way between two VMs.
TEST_F(stories, work_whose_answer_was_lost_runs_once_and_is_not_denied)
{
    start([](visit&) { return false; });
    const auto here = ask(first_vm, "/unsafe/x", "id-1");
    EXPECT_EQ(here.status, 502);
    EXPECT_EQ(arrivals("id-1"), 1);
    const auto far = ask(first_vm, "/west/x", "id-2");
    EXPECT_EQ(far.status, 502);
    EXPECT_LE(m_west->arrivals("id-2"), 2);
}

TEST_F(stories, work_behind_a_vm_that_is_killed_is_not_denied)
{
    start([](visit& one) { return one.pause(seconds{3}) && one.send(one.answer("done")); });
    // Only the other region's VM can run it.
    reply answer;
    std::thread caller([&] { answer = ask(first_vm, "/west/x", "id-1"); });
    EXPECT_TRUE(wait_until([&] { return m_west->arrivals("id-1") == 1; }, seconds{2}));
    m_fleet.at(west_vm).kill();
    caller.join();
    EXPECT_TRUE(answer.status == 502 || answer.status == 504) << answer.status;
    EXPECT_EQ(m_west->arrivals("id-1"), 1);
}

// A machine that was only silent for a while had its running work started again elsewhere, or
// given up. Here the VM itself stands still while answers arrive.
TEST_F(stories, a_vm_that_stood_still_goes_on_with_its_work)
{
    const auto script = [](visit& one) {
        if (one.path() == "/unsafe/x") {
            return one.pause(milliseconds{400}) && one.send(one.answer("done"));
        }
        auto alive = one.send(one.head("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n"));
        for (int number = 1; number <= 24 && alive; ++number) {
            alive = one.send(event(number)) && one.pause(milliseconds{100});
        }
        return alive && one.send("0\r\n\r\n");
    };
    start(script);
    reply stream;
    reply plain;
    std::thread first([&] { stream = ask(first_vm, "/stream/x", "id-stream"); });
    std::thread second([&] { plain = ask(first_vm, "/unsafe/x", "id-plain"); });
    EXPECT_TRUE(wait_until([&] { return arrivals("id-stream") == 1 && arrivals("id-plain") == 1; },
                           seconds{2}));
    std::this_thread::sleep_for(milliseconds{200});
    m_fleet.at(first_vm).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{1800});
    m_fleet.at(first_vm).signal(SIGCONT);
    first.join();
    second.join();
    EXPECT_EQ(plain.body, "done");
    EXPECT_TRUE(stream.whole);
    EXPECT_NE(stream.body.find("data: 24"), std::string::npos);
    EXPECT_EQ(arrivals("id-stream"), 1);
    EXPECT_EQ(arrivals("id-plain"), 1);
}

// An answer that arrived while the VM stood still is delivered, also when its deadline has passed.
TEST_F(stories, an_answer_that_waits_is_delivered_late)
{
    start([](visit& one) { return one.pause(milliseconds{300}) && one.send(one.answer("done")); });
    auto wanted = front_fleet::request(first_vm, "/unsafe/x", "id-1");
    wanted.headers[2] = "X-Chicorylink-Deadline-Ms: 1500";
    reply answer;
    std::thread caller([&] { answer = perform(wanted); });
    EXPECT_TRUE(wait_until([&] { return arrivals("id-1") == 1; }, seconds{2}));
    m_fleet.at(first_vm).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{2200});
    m_fleet.at(first_vm).signal(SIGCONT);
    caller.join();
    EXPECT_EQ(answer.body, "done");
}

// A silent target: work that may not run twice stays there and its answer counts.
TEST_F(stories, work_at_a_silent_target_is_neither_repeated_nor_given_up)
{
    start([](visit& one) { return one.pause(milliseconds{2800}) && one.send(one.answer("done")); });
    const auto answer = ask(first_vm, "/unsafe/x", "id-1");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(arrivals("id-1"), 1);
}

// A VM that forwards for another stands still: its work is not started again through a third.
TEST_F(stories, work_behind_a_vm_that_stands_still_is_neither_repeated_nor_given_up)
{
    start([](visit& one) { return one.pause(milliseconds{200}) && one.send(one.answer("done")); });
    reply answer;
    std::thread caller([&] { answer = ask(first_vm, "/west/x", "id-1"); });
    EXPECT_TRUE(wait_until([&] { return m_west->arrivals("id-1") == 1; }, seconds{2}));
    m_fleet.at(west_vm).signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{2500});
    m_fleet.at(west_vm).signal(SIGCONT);
    caller.join();
    EXPECT_EQ(answer.body, "done");
    EXPECT_EQ(m_west->arrivals("id-1"), 1);
}

// What an address that is no member of the fleet can do: it changes no belief by datagram, and a
// forwarded request of its own is charged like a caller's.
TEST_F(stories, a_stranger_changes_no_belief)
{
    start([](visit& one) { return one.send(one.answer("done")); });
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

// The news that a target leaves reaches the other VMs of its region, which have not asked it.
TEST_F(stories, a_region_hears_that_a_target_leaves)
{
    start([](visit& one) { return one.send(one.answer("east", "Server-Leaving: 1\r\n")); },
          [](visit& one) { return one.send(one.answer("west")); });
    EXPECT_EQ(ask(first_vm, "/safe/x", "id-1").body, "east");
    std::this_thread::sleep_for(seconds{1});
    const auto before = m_east->arrivals();
    for (int number = 0; number < 10; ++number) {
        EXPECT_EQ(ask(second_vm, "/safe/x", fmt::format("id-{}", 10 + number)).body, "west");
    }
    EXPECT_EQ(m_east->arrivals(), before);
}

} // namespace
} // namespace chicorylink::process_tests
