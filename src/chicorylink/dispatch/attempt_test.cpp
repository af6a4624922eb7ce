#include "chicorylink/dispatch/attempt.hpp"

#include <array>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::dispatch {
namespace {

using event = attempt_event;

constexpr base::time_point start{};
constexpr std::array all_events{
    event::enqueue,           event::connect,      event::write,     event::response_begun,
    event::response_complete, event::lost,         event::timed_out, event::cancelled,
    event::confirmed_not_run, event::confirmed_ran};

attempt after_events(std::initializer_list<event> events)
{
    attempt current{.id = {base::incarnation{1}, 1}};
    for (const auto each : events) {
        EXPECT_TRUE(apply(current, each));
    }
    return current;
}

TEST(attempt, is_not_run_when_it_ends_before_the_first_write)
{
    for (const auto last : {event::lost, event::timed_out, event::cancelled}) {
        EXPECT_EQ(after_events({last}).result, outcome::not_run);
        EXPECT_EQ(after_events({event::enqueue, last}).result, outcome::not_run);
        EXPECT_EQ(after_events({event::enqueue, event::connect, last}).result, outcome::not_run);
    }
}

TEST(attempt, is_unknown_when_it_ends_after_the_first_write)
{
    for (const auto last : {event::lost, event::timed_out, event::cancelled}) {
        EXPECT_EQ(after_events({event::connect, event::write, last}).result, outcome::unknown);
    }
    EXPECT_EQ(after_events({event::write, event::confirmed_not_run}).result, outcome::not_run);
    EXPECT_EQ(after_events({event::write, event::confirmed_ran}).result, outcome::ran);
}

TEST(attempt, has_run_once_a_response_has_begun)
{
    EXPECT_EQ(after_events({event::write, event::response_begun, event::lost}).result,
              outcome::ran);
    const auto completed =
        after_events({event::write, event::response_begun, event::response_complete});
    EXPECT_EQ(completed.state, attempt_state::complete);
    EXPECT_EQ(completed.result, outcome::ran);
}

TEST(attempt, ignores_late_and_invalid_events)
{
    auto current = after_events({event::write, event::timed_out});
    for (const auto late : all_events) {
        EXPECT_FALSE(apply(current, late));
    }
    EXPECT_EQ(current.result, outcome::unknown);
    auto fresh = after_events({});
    EXPECT_FALSE(apply(fresh, event::response_begun));
    EXPECT_FALSE(apply(fresh, event::confirmed_not_run));
}

TEST(attempt, is_not_written_after_its_deadline)
{
    attempt current{.deadline = start + base::milliseconds{10}};
    auto paused = current;
    EXPECT_TRUE(begin_write(current, start));
    EXPECT_FALSE(begin_write(paused, start + base::milliseconds{10}));
    EXPECT_EQ(paused.result, outcome::not_run);
}

/// Guards against a result that changes after a late event, and against `not_run` for an attempt
/// that was written without a later report that it did not run.
TEST(attempt, keeps_its_first_result_under_any_events)
{
    const rc::detail::TestParams params{.seed = 11, .maxSuccess = 2000};
    const auto result = rc::detail::checkTestable(
        [](const std::vector<std::uint8_t>& choices) {
            attempt current;
            bool written = false;
            bool reported_not_run = false;
            std::optional<outcome> first;
            for (const auto choice : choices) {
                const auto each = all_events[choice % all_events.size()];
                const bool applied = apply(current, each);
                written |= applied && each == event::write;
                reported_not_run |= applied && each == event::confirmed_not_run;
                if (!first) {
                    first = current.result;
                }
                RC_ASSERT(first == current.result);
                if (current.result == outcome::not_run) {
                    RC_ASSERT(!written || reported_not_run);
                }
            }
        },
        rc::detail::TestMetadata{}, params);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << "seed 11";
}

} // namespace
} // namespace chicorylink::dispatch
