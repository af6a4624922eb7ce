#include "chicorylink/dispatch/attempt.hpp"

#include <array>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace chicorylink::dispatch {
namespace {

using event = attempt_event;

constexpr base::time_point start{};
constexpr std::array all_events{event::enqueue,      event::connect,         event::write,
                                event::answer_begun, event::answer_complete, event::lost,
                                event::timed_out,    event::cancelled,       event::proved_not_run,
                                event::proved_ran};

attempt after(std::initializer_list<event> events)
{
    attempt subject{.id = {base::incarnation{1}, 1}};
    for (const auto each : events) {
        EXPECT_TRUE(apply(subject, each));
    }
    return subject;
}

TEST(attempt, is_not_run_when_it_ends_before_the_first_write)
{
    for (const auto last : {event::lost, event::timed_out, event::cancelled}) {
        EXPECT_EQ(after({last}).result, outcome::not_run);
        EXPECT_EQ(after({event::enqueue, last}).result, outcome::not_run);
        EXPECT_EQ(after({event::enqueue, event::connect, last}).result, outcome::not_run);
    }
}

TEST(attempt, is_unknown_when_it_ends_after_the_first_write)
{
    for (const auto last : {event::lost, event::timed_out, event::cancelled}) {
        EXPECT_EQ(after({event::connect, event::write, last}).result, outcome::unknown);
    }
    EXPECT_EQ(after({event::write, event::proved_not_run}).result, outcome::not_run);
    EXPECT_EQ(after({event::write, event::proved_ran}).result, outcome::ran);
}

TEST(attempt, has_run_once_an_answer_has_begun)
{
    EXPECT_EQ(after({event::write, event::answer_begun, event::lost}).result, outcome::ran);
    const auto whole = after({event::write, event::answer_begun, event::answer_complete});
    EXPECT_EQ(whole.state, attempt_state::complete);
    EXPECT_EQ(whole.result, outcome::ran);
}

TEST(attempt, drops_late_and_misplaced_events)
{
    auto subject = after({event::write, event::timed_out});
    for (const auto late : all_events) {
        EXPECT_FALSE(apply(subject, late));
    }
    EXPECT_EQ(subject.result, outcome::unknown);
    auto fresh = after({});
    EXPECT_FALSE(apply(fresh, event::answer_begun));
    EXPECT_FALSE(apply(fresh, event::proved_not_run));
}

TEST(attempt, is_not_written_after_its_deadline)
{
    attempt subject{.deadline = start + base::milliseconds{10}};
    auto paused = subject;
    EXPECT_TRUE(begin_write(subject, start));
    EXPECT_FALSE(begin_write(paused, start + base::milliseconds{10}));
    EXPECT_EQ(paused.result, outcome::not_run);
}

/// The same result as `is_over` and outcome after any events: `not_run` only without a write that
/// nobody disproved, and no result ever changes.
TEST(attempt, never_takes_a_result_back_under_any_events)
{
    const rc::detail::TestParams params{.seed = 11, .maxSuccess = 2000};
    const auto result = rc::detail::checkTestable(
        [](const std::vector<std::uint8_t>& choices) {
            attempt subject;
            bool written = false;
            bool disproved = false;
            std::optional<outcome> first;
            for (const auto choice : choices) {
                const auto each = all_events[choice % all_events.size()];
                const bool taken = apply(subject, each);
                written |= taken && each == event::write;
                disproved |= taken && each == event::proved_not_run;
                if (!first) {
                    first = subject.result;
                }
                RC_ASSERT(first == subject.result);
                if (subject.result == outcome::not_run) {
                    RC_ASSERT(!written || disproved);
                }
            }
        },
        rc::detail::TestMetadata{}, params);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << "seed 11";
}

} // namespace
} // namespace chicorylink::dispatch
