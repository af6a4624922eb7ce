#include "chicorylink/routing/target_state.hpp"
#include "chicorylink/routing/warm_up.hpp"
#include "testing.hpp"

#include <gtest/gtest.h>

namespace chicorylink::routing {
namespace {

using base::milliseconds;
using base::tokens;
using testing_support::at;

constexpr std::uint32_t vm_count = 3;
constexpr double unknown_load = 6.0;

void send(target_state& state, std::int64_t when)
{
    on_sent(state, tokens{100}, tokens{100}, at(when));
}

TEST(target_state, load_is_the_report_plus_own_requests_since_its_measurement)
{
    target_state state{.slots = 8};
    send(state, 100);
    send(state, 400);
    // Measured at 250 ms: includes the first request but not the second.
    on_report(state, {.running = 3, .age = milliseconds{250}}, at(500));
    EXPECT_EQ(estimated_load(state, vm_count, unknown_load, at(500)), 4.0);
    send(state, 600);
    EXPECT_EQ(estimated_load(state, vm_count, unknown_load, at(600)), 5.0);
    on_finished(state, tokens{100}, attempt_outcome::succeeded, milliseconds{500}, at(700));
    EXPECT_EQ(estimated_load(state, vm_count, unknown_load, at(700)), 4.0);
}

TEST(target_state, a_report_that_arrives_after_a_newer_one_is_ignored)
{
    target_state state{.slots = 8};
    on_report(state, {.running = 5, .age = milliseconds{0}}, at(500));
    on_report(state, {.running = 1, .age = milliseconds{400}}, at(600));
    EXPECT_EQ(estimated_load(state, vm_count, unknown_load, at(600)), 5.0);
}

TEST(target_state, an_old_report_means_unknown_load_and_not_idle)
{
    target_state state{.slots = 8};
    on_report(state, {.running = 0}, at(0));
    EXPECT_EQ(estimated_load(state, vm_count, unknown_load, at(1000)), 0.0);
    EXPECT_EQ(estimated_load(state, vm_count, unknown_load, at(5000)), unknown_load);
    for (int count = 0; count < 4; ++count) {
        send(state, 5000);
    }
    EXPECT_EQ(estimated_load(state, vm_count, unknown_load, at(5000)), 4.0 * vm_count);
}

TEST(target_state, counts_own_requests_that_a_report_misses)
{
    target_state state{.slots = 8};
    send(state, 100);
    send(state, 100);
    on_report(state, {.running = 0}, at(300));
    EXPECT_EQ(estimated_load(state, vm_count, unknown_load, at(300)), 2.0);
}

TEST(warm_up, rises_from_the_initial_share_to_all_slots)
{
    EXPECT_EQ(usable_slots(10, std::nullopt, at(0)), 10U);
    EXPECT_EQ(usable_slots(10, at(0), at(0)), 3U);
    EXPECT_EQ(usable_slots(1, at(0), at(0)), 1U);
    EXPECT_LT(usable_slots(10, at(0), at(5000)), 10U);
    EXPECT_EQ(usable_slots(10, at(0), at(10'000)), 10U);
}

TEST(warm_up, starts_when_a_target_returns)
{
    target_state state{.slots = 8};
    on_availability(state, target_availability::live, at(0));
    EXPECT_FALSE(state.warming_since);
    on_availability(state, target_availability::leaving, at(1));
    EXPECT_FALSE(takes_work(state));
    on_availability(state, target_availability::live, at(2));
    EXPECT_EQ(state.warming_since, at(2));
}

} // namespace
} // namespace chicorylink::routing
