// Targets that state a limit on the requests per second must not get more from all VMs together.

#include "fleet.hpp"
#include "front_fleet.hpp"
#include "http_call.hpp"
#include "limited_target.hpp"
#include "suite.hpp"

#include <atomic>
#include <chrono>
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
using clock = limited_target::clock;

const std::vector<std::string> east_vms{"127.0.6.1", "127.0.6.2", "127.0.6.3"};

/// What callers saw.
struct outcomes {
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> other{0};
    /// Refusals whose Retry-After is absent or zero.
    std::atomic<int> without_retry_after{0};
    std::atomic<int> slowest_refusal_ms{0};
};

/// Three VMs of one region before two targets.
class limit : public testing::Test {
protected:
    void start()
    {
        m_fleet.publish_config(1, {"secret"});
        m_fleet.publish_target("i-first", m_first.address(), "east-a");
        m_fleet.publish_target("i-second", m_second.address(), "east-a");
        for (const auto& ip : east_vms) {
            m_fleet.start(ip, "east");
        }
        for (const auto& ip : east_vms) {
            ASSERT_TRUE(wait_until([&] { return front_fleet::is_ready(ip); }, seconds{10}));
            ASSERT_TRUE(wait_until([&] { return front_fleet::directory(ip, "east").size() == 3; },
                                   seconds{5}));
        }
    }

    /// Sends requests through all VMs, more at a time than one target has slots.
    void send_requests(seconds duration, outcomes& seen)
    {
        constexpr int callers_per_vm = 4;
        std::vector<std::thread> callers;
        for (std::size_t number = 0; number < east_vms.size() * callers_per_vm; ++number) {
            callers.emplace_back([&, number] {
                connection client;
                const auto& vm = east_vms[number % east_vms.size()];
                const auto end = clock::now() + duration;
                for (int turn = 0; clock::now() < end; ++turn) {
                    const auto id = fmt::format("id-{}-{}-{}", m_round, number, turn);
                    const auto begin = clock::now();
                    const auto result = client.perform(front_fleet::request(vm, "/safe/x", id));
                    count(result, clock::now() - begin, seen);
                    std::this_thread::sleep_for(pause);
                }
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
        ++m_round;
    }

    limited_target m_first{"first"};
    limited_target m_second{"second"};
    front_fleet m_fleet{binaries(), "chicorylink_limit"};

private:
    static constexpr milliseconds pause{5};

    static void count(const reply& result, clock::duration took, outcomes& seen)
    {
        if (result.status == 200) {
            ++seen.answered;
            return;
        }
        if (result.status != 503) {
            ++seen.other;
            return;
        }
        ++seen.refused;
        const auto ms = static_cast<int>(std::chrono::duration_cast<milliseconds>(took).count());
        seen.slowest_refusal_ms = std::max(seen.slowest_refusal_ms.load(), ms);
        const auto retry_after = result.header("retry-after");
        seen.without_retry_after += retry_after.empty() || std::stod(retry_after) <= 0 ? 1 : 0;
    }

    int m_round = 0;
};

// Guards against a region that sends a target several times the rate that it stated: VMs that read
// the limit but choose by another VM's view, or that each keep the whole limit as if they were
// alone.
TEST_F(limit, a_region_keeps_the_rate_that_a_target_states)
{
    m_first.state_limit("1");
    start();
    outcomes seen;
    send_requests(limit_grace + limit_window + seconds{3}, seen);
    ASSERT_TRUE(m_first.first_stated_at());
    const auto holds_from = *m_first.first_stated_at() + limit_grace;
    EXPECT_LE(m_first.most_arrivals(limit_window, holds_from), promised_arrivals(1, limit_window));
    // The rate that it takes is used, and the other target serves the rest.
    EXPECT_GE(m_first.arrivals_since(holds_from), 2U);
    EXPECT_GT(seen.answered, 300);
    EXPECT_EQ(seen.refused, 0);
    EXPECT_EQ(seen.other, 0);
}

} // namespace
} // namespace chicorylink::process_tests
