// A fleet may send requests again only within its bound, however often its processes restart.

#include "fleet.hpp"
#include "front_fleet.hpp"
#include "http_call.hpp"
#include "scripted_target.hpp"
#include "suite.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace chicorylink::process_tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using clock = std::chrono::steady_clock;

const std::vector<std::string> east_vms{"127.0.18.1", "127.0.18.2"};
const std::vector<std::string> west_vms{"127.0.18.3", "127.0.18.4"};

/// The promise, as in the settings of `front_fleet`.
constexpr double promised_ratio = 0.2;
constexpr double promised_slack = 20;
constexpr seconds window{10};

unsigned seed()
{
    const auto* given = std::getenv("CHICORYLINK_SEED");
    return given == nullptr ? 1U : static_cast<unsigned>(std::stoul(given));
}

/// Two regions of two VMs and two targets each; the targets can reject all requests.
class retry_budget : public testing::Test {
protected:
    void start()
    {
        m_fleet.set_retry_slack(promised_slack);
        m_fleet.publish_config(1, {"secret"});
        m_fleet.set_seeds({east_vms.front(), west_vms.front()});
        for (const auto* zone : {"east-a", "east-a", "west-a", "west-a"}) {
            const auto name = fmt::format("i-{}", m_targets.size());
            m_targets.push_back(std::make_unique<scripted_target>(
                [this](scripted_target::http_exchange& exchange) { return respond(exchange); }));
            m_fleet.publish_target(name, m_targets.back()->address(), zone);
        }
        for (const auto& ip : east_vms) {
            m_regions[ip] = "east";
        }
        for (const auto& ip : west_vms) {
            m_regions[ip] = "west";
        }
        for (const auto& [ip, region] : m_regions) {
            m_fleet.start(ip, region);
        }
        for (const auto& [ip, region] : m_regions) {
            ASSERT_TRUE(wait_until([&ip = ip] { return front_fleet::is_ready(ip); }, seconds{10}));
        }
    }

    void start_callers()
    {
        constexpr int callers_per_vm = 3;
        for (const auto& [ip, region] : m_regions) {
            for (int caller = 0; caller < callers_per_vm; ++caller) {
                m_callers.emplace_back([this, ip = ip, caller] { send_requests(ip, caller); });
            }
        }
    }

    void stop_callers()
    {
        m_is_stopping = true;
        for (auto& caller : m_callers) {
            caller.join();
        }
    }

    void kill_and_start(const std::string& ip)
    {
        m_fleet.at(ip).kill();
        m_fleet.start(ip, m_regions.at(ip));
    }

    void freeze(const std::string& ip, milliseconds time)
    {
        m_fleet.at(ip).signal(SIGSTOP);
        std::this_thread::sleep_for(time);
        m_fleet.at(ip).signal(SIGCONT);
    }

    /// The largest excess of repeated arrivals in any window over what the promise allows there.
    [[nodiscard]] double worst_excess()
    {
        const std::lock_guard lock(m_mutex);
        double worst = -promised_slack;
        for (const auto from : m_repeats) {
            const auto repeats = count_from(m_repeats, from);
            const auto requests =
                std::max({count_from(m_requests, from), count_from(m_requests, from - window / 2),
                          count_from(m_requests, from - window)});
            worst = std::max(worst, repeats - promised_ratio * requests - promised_slack);
        }
        return worst;
    }

    [[nodiscard]] std::size_t repeats()
    {
        const std::lock_guard lock(m_mutex);
        return m_repeats.size();
    }

    std::atomic<bool> m_reject{false};

private:
    [[nodiscard]] static double count_from(const std::vector<clock::time_point>& times,
                                           clock::time_point from)
    {
        return static_cast<double>(std::count_if(
            times.begin(), times.end(), [&](auto at) { return at >= from && at < from + window; }));
    }

    void send_requests(const std::string& ip, int caller)
    {
        constexpr milliseconds pause{60};
        for (int number = 0; !m_is_stopping; ++number) {
            {
                const std::lock_guard lock(m_mutex);
                m_requests.push_back(clock::now());
            }
            // A request that only runs in the west is forwarded by VMs of the east.
            const auto* path = number % 3 == 0 ? "/west/x" : "/safe/x";
            auto outgoing =
                front_fleet::request(ip, path, fmt::format("{}-{}-{}", ip, caller, number));
            outgoing.timeout_ms = 2000;
            static_cast<void>(perform(outgoing));
            std::this_thread::sleep_for(pause);
        }
    }

    bool respond(scripted_target::http_exchange& exchange)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (++m_arrivals[exchange.id()] > 1) {
                m_repeats.push_back(clock::now());
            }
        }
        if (m_reject) {
            return exchange.send(
                exchange.response("busy", "X-Chicorylink-Not-Run: 1\r\n", busy_status));
        }
        return exchange.send(exchange.response("done"));
    }

    static constexpr int busy_status = 503;

    front_fleet m_fleet{binaries(), "chicorylink_retry_budget"};
    std::map<std::string, std::string> m_regions;
    std::vector<std::unique_ptr<scripted_target>> m_targets;
    std::vector<std::thread> m_callers;
    std::atomic<bool> m_is_stopping{false};
    std::mutex m_mutex;
    std::map<std::string, int> m_arrivals;
    std::vector<clock::time_point> m_requests;
    std::vector<clock::time_point> m_repeats;
};

// Guards against processes that forget at a restart what they have sent again: targets that reject
// requests got them again from each new process. More runs by hand: CHICORYLINK_SEED=N.
TEST_F(retry_budget, holds_while_vms_are_killed_again_and_again_beside_busy_targets)
{
    ASSERT_NO_FATAL_FAILURE(start());
    start_callers();
    std::this_thread::sleep_for(window + seconds{1});
    m_reject = true;
    std::this_thread::sleep_for(seconds{1});
    std::mt19937 random(seed());
    for (int round = 0; round < 5; ++round) {
        for (const auto& vms : {east_vms, west_vms}) {
            for (const auto& ip : vms) {
                kill_and_start(ip);
            }
        }
        const auto& frozen = random() % 2 == 0 ? east_vms : west_vms;
        std::this_thread::sleep_for(milliseconds{500 + random() % 1000});
        freeze(frozen.at(random() % 2), milliseconds{300 + random() % 500});
    }
    std::this_thread::sleep_for(seconds{3});
    stop_callers();
    EXPECT_LE(worst_excess(), 0) << "seed " << seed();
    EXPECT_GT(repeats(), 0U);
}

} // namespace
} // namespace chicorylink::process_tests
