// A part of prompts that crashes targets must not take down one target after the other.

#include "crashing_target.hpp"
#include "crashing_targets_fixture.hpp"
#include "fleet.hpp"
#include "front_fleet.hpp"
#include "http_call.hpp"
#include "prompt_traffic.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
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
using clock = crashing_target::clock;
using outcomes = std::vector<prompt_traffic::outcome>;

constexpr const char* deadly_part = "dead0b17";

/// The promise: after the fifth crash and this time at most a few requests with the part arrive.
constexpr std::size_t crashes_before_promise = 5;
constexpr seconds contact_time{5};
constexpr std::size_t promised_arrivals = 3;

/// The promise to sound requests begins after the fifth crash and this time.
constexpr seconds recovery_time = contact_time * 2;

/// A refusal at once waits for nothing; the rest is for a busy machine.
constexpr milliseconds refusal_bound{500};

unsigned seed()
{
    const auto* given = std::getenv("CHICORYLINK_SEED");
    return given == nullptr ? 1U : static_cast<unsigned>(std::stoul(given));
}

/// A counter of a VM; zero while the VM has not counted anything.
int counter(const std::string& ip, const std::string& name)
{
    call outgoing;
    outgoing.url = fmt::format("http://{}:{}/metrics", ip, front_fleet::control_port);
    const auto text = "\n" + perform(outgoing).body;
    const auto line = "\n" + name + " ";
    const auto begin = text.find(line);
    return begin == std::string::npos ? 0 : std::stoi(text.substr(begin + line.size()));
}

/// Three targets in one region and two in the other.
class crashing_part : public crashing_targets_fixture {
protected:
    crashing_part()
        : crashing_targets_fixture({"chicorylink_crashing_part",
                                    "127.0.11.",
                                    21901,
                                    {"east-a", "west-a", "east-a", "west-a", "east-a"},
                                    [](const auto& exchange) {
                                        return has_shared_part(
                                            exchange.header("X-Chicorylink-Prompt-Prefix"),
                                            deadly_part);
                                    }})
    {
    }

    [[nodiscard]] int counter_of_all(const std::string& name) const
    {
        int sum = 0;
        for (const auto& ip : all_vms()) {
            sum += counter(ip, name);
        }
        return sum;
    }

    /// Waits for the fifth crash, or for a time in which there are fewer.
    /// @return The fifth crash, or the last one.
    [[nodiscard]] clock::time_point wait_for_fifth_crash() const
    {
        constexpr seconds longest_wait{8};
        static_cast<void>(
            wait_until([&] { return crashes().size() >= crashes_before_promise; }, longest_wait));
        const auto all = crashes();
        EXPECT_FALSE(all.empty());
        return all.empty() ? clock::now() : all[std::min(all.size(), crashes_before_promise) - 1];
    }

    /// Callers of deadly prompts must be told at once when to come back.
    static void expect_refused_at_once(const outcomes& all, clock::time_point from)
    {
        std::size_t refused = 0;
        std::size_t other = 0;
        for (const auto& one : all) {
            if (!one.is_deadly || one.begin < from) {
                continue;
            }
            if (one.status != 503) {
                ++other;
                continue;
            }
            ++refused;
            EXPECT_GT(one.retry_after_s, 0) << one.request_id;
            EXPECT_LT(one.took, refusal_bound) << one.request_id;
        }
        EXPECT_GT(refused, 0U);
        EXPECT_LE(other, promised_arrivals);
    }

    /// The share of sound requests of a span that were served at their first attempt.
    [[nodiscard]] static double served_share(const outcomes& all, clock::time_point from,
                                             clock::time_point to)
    {
        int sent = 0;
        int served = 0;
        for (const auto& one : all) {
            if (!one.is_deadly && one.begin >= from && one.begin < to) {
                ++sent;
                served += one.status == 200 && one.complete ? 1 : 0;
            }
        }
        EXPECT_GE(sent, 20);
        return sent == 0 ? 0 : static_cast<double>(served) / sent;
    }

    /// The sound requests that were refused for a part of their prompt.
    [[nodiscard]] static std::ptrdiff_t quarantined_sound_prompts(const outcomes& all)
    {
        return std::count_if(all.begin(), all.end(),
                             [](const auto& one) { return !one.is_deadly && one.is_quarantined; });
    }

    prompt_traffic m_traffic{all_vms(), deadly_part, seed()};
};

// Guards against one part of prompts that crashes target after target: each VM sees only some of
// the crashes, and the other requests that a crash cuts look as guilty as the one that caused it.
// More runs by hand: CHICORYLINK_SEED=N.
TEST_F(crashing_part, is_kept_from_targets_of_all_regions_while_sound_prompts_are_served)
{
    ASSERT_NO_FATAL_FAILURE(start());
    m_traffic.start_sound();
    std::this_thread::sleep_for(seconds{1});
    const auto calm_from = clock::now();
    std::this_thread::sleep_for(seconds{3});
    const auto calm_to = clock::now();
    m_traffic.start_deadly();
    const auto fifth_crash = wait_for_fifth_crash();
    constexpr seconds observed_recovery{5};
    std::this_thread::sleep_until(fifth_crash + recovery_time + observed_recovery);
    const auto end = clock::now();
    m_traffic.stop();
    const auto all = m_traffic.outcomes();

    EXPECT_LE(arrivals_since(fifth_crash + contact_time), promised_arrivals)
        << "seed " << seed() << ", " << list_arrivals(fifth_crash);
    expect_refused_at_once(all, fifth_crash + contact_time);
    const auto calm_share = served_share(all, calm_from, calm_to);
    EXPECT_GT(calm_share, 0.9);
    EXPECT_GE(served_share(all, fifth_crash + recovery_time, end), calm_share / 2);
    // No sound prompt is refused for a part that it shares with the deadly ones.
    EXPECT_EQ(quarantined_sound_prompts(all), 0);
}

// Guards against a VM that forgets at its restart which part crashes targets, while prompts with
// it still come.
TEST_F(crashing_part, is_kept_from_targets_by_a_vm_that_restarted)
{
    ASSERT_NO_FATAL_FAILURE(start());
    m_traffic.start_sound();
    m_traffic.start_deadly();
    const auto fifth_crash = wait_for_fifth_crash();
    const auto restarted_vm = east_vms().back();
    m_fleet.at(restarted_vm).kill();
    m_fleet.start(restarted_vm, "east");
    const auto restarted_at = clock::now();
    ASSERT_TRUE(wait_until([&] { return front_fleet::is_ready(restarted_vm); }, seconds{10}));
    const auto holds_from = std::max(fifth_crash, restarted_at) + contact_time;
    std::this_thread::sleep_until(holds_from);
    constexpr int prompts = 10;
    for (int number = 0; number < prompts; ++number) {
        m_traffic.send_deadly(restarted_vm);
        std::this_thread::sleep_for(milliseconds{100});
    }
    m_traffic.stop();

    EXPECT_LE(arrivals_since(holds_from), promised_arrivals)
        << "seed " << seed() << ", " << list_arrivals(holds_from);
    expect_refused_at_once(m_traffic.outcomes(), holds_from);
}

// Guards against a part that many prompts share being taken for the cause when targets die for
// other reasons: one after the other, several at once, or by cutting single answers.
TEST_F(crashing_part, is_not_suspected_when_targets_die_for_other_reasons)
{
    ASSERT_NO_FATAL_FAILURE(start());
    m_traffic.start_sound();
    constexpr milliseconds between_crashes{700};
    for (int round = 0; round < 2; ++round) {
        for (const auto& target : m_targets) {
            std::this_thread::sleep_for(between_crashes);
            target->crash();
        }
    }
    std::this_thread::sleep_for(crashing_target::down_time + between_crashes);
    // One region loses all of its targets at once, then both lose most of theirs.
    for (const auto& numbers : {std::vector{0, 2, 4}, std::vector{1, 2, 4}}) {
        for (const auto number : numbers) {
            m_targets[static_cast<std::size_t>(number)]->crash();
        }
        std::this_thread::sleep_for(crashing_target::down_time * 2);
    }
    for (const auto& target : m_targets) {
        target->cut_each(8);
    }
    std::this_thread::sleep_for(seconds{3});
    for (const auto& target : m_targets) {
        target->cut_each(0);
    }
    std::this_thread::sleep_for(seconds{1});
    const auto calm_from = clock::now();
    std::this_thread::sleep_for(seconds{2});
    const auto calm_to = clock::now();
    m_traffic.stop();

    EXPECT_EQ(quarantined_sound_prompts(m_traffic.outcomes()), 0);
    EXPECT_EQ(counter_of_all("quarantined_requests_total"), 0);
    EXPECT_EQ(counter_of_all("prompt_part_quarantines_total"), 0);
    EXPECT_GT(served_share(m_traffic.outcomes(), calm_from, calm_to), 0.9);
}

} // namespace
} // namespace chicorylink::process_tests
