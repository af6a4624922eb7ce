// Whole requests that crash targets, as one VM decides on them.

#include "chicorylink/fleet/crash_quarantine.hpp"
#include "chicorylink/fleet/crash_test_support.hpp"

#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::at;
using test_support::crash_targets;
using test_support::deadly_part;
using test_support::deadly_request;
using test_support::refuses;
using test_support::run_of;
using test_support::sound_request;

TEST(crash_quarantine, a_request_of_three_crashes_is_refused_once_they_have_settled)
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_request}, 3, seconds{0});
    guard.update(at(milliseconds{3'400}));
    EXPECT_FALSE(refuses(guard, deadly_request, at(milliseconds{3'400})));
    const auto changes = guard.update(at(milliseconds{3'500}));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().subject, deadly_request);
    EXPECT_EQ(changes.front().crashes, 3U);
    EXPECT_TRUE(refuses(guard, deadly_request, at(milliseconds{3'500})));
}

// Guards against a request that takes down all targets of a small service within a moment, since it
// is sent again at once: waiting for a second burst would take them down once more.
TEST(crash_quarantine, one_burst_is_enough_for_a_request_that_was_never_answered)
{
    for (const bool was_answered : {false, true}) {
        crash_quarantine guard;
        if (was_answered) {
            guard.note_survival(std::vector{deadly_request}, at(seconds{0}), at(seconds{0}));
        }
        for (std::uint64_t target = 1; target <= 3; ++target) {
            guard.note_crash(std::vector{deadly_request}, run_of(target),
                             at(seconds{1}) + milliseconds{60} * target);
        }
        guard.update(at(seconds{4}));
        EXPECT_EQ(refuses(guard, deadly_request, at(seconds{4})), !was_answered);
    }
}

// Guards against a ban of a sound request that was sent again beside the deadly one, to the same
// targets, and got no answer.
TEST(crash_quarantine, a_sound_request_in_flight_at_several_crashes_is_not_refused)
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_request}, 4, seconds{0});
    crash_targets(guard, {sound_request}, 3, seconds{0});
    guard.update(at(seconds{6}));
    EXPECT_TRUE(refuses(guard, deadly_request, at(seconds{6})));
    EXPECT_FALSE(refuses(guard, sound_request, at(seconds{6})));
}

TEST(crash_quarantine, a_request_that_is_answered_after_its_crashes_is_not_refused)
{
    crash_quarantine guard;
    crash_targets(guard, {sound_request}, 3, seconds{0});
    guard.note_survival(std::vector{sound_request}, at(milliseconds{2'100}), at(seconds{3}));
    guard.update(at(seconds{6}));
    EXPECT_FALSE(refuses(guard, sound_request, at(seconds{6})));
}

// Guards against a ban of a session because one of its requests crashes targets, and against a
// deadly part that hides behind the first request that has it.
TEST(crash_quarantine, a_part_is_refused_only_if_it_was_at_crashes_without_the_deadly_request)
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_request, deadly_part}, 4, seconds{0});
    guard.update(at(seconds{8}));
    EXPECT_TRUE(refuses(guard, deadly_request, at(seconds{8})));
    EXPECT_FALSE(refuses(guard, deadly_part, at(seconds{8})));
    guard.note_crash(std::vector{deadly_part}, run_of(50), at(seconds{9}));
    guard.update(at(seconds{13}));
    EXPECT_TRUE(refuses(guard, deadly_part, at(seconds{13})));
}

// Guards against a request that comes for hours and crashes a target after each quarantine.
TEST(crash_quarantine, a_request_that_crashes_one_more_target_gets_the_longest_time)
{
    constexpr auto kind = crash_subject_kind::whole_request;
    EXPECT_EQ(quarantine_time(kind, 1), first_quarantine_time);
    EXPECT_EQ(quarantine_time(kind, 2), max_quarantine_time);
    crash_quarantine guard;
    crash_targets(guard, {deadly_request}, 3, seconds{0});
    guard.update(at(seconds{10}));
    const auto again = seconds{2} + first_quarantine_time + seconds{1};
    guard.update(at(again));
    EXPECT_FALSE(refuses(guard, deadly_request, at(again)));
    guard.note_crash(std::vector{deadly_request}, run_of(50), at(again));
    guard.update(at(again));
    EXPECT_EQ(guard.find(std::vector{deadly_request}, at(again))->left, max_quarantine_time);
}

// Guards against memory that grows with the number of different requests, sound or not.
TEST(crash_quarantine, many_different_requests_take_bounded_memory_and_reports)
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_request}, 2, seconds{0});
    for (std::uint64_t number = 0; number < 20'000; ++number) {
        const auto now = at(seconds{2}) + milliseconds{number / 20};
        const std::vector<crash_subject> subjects{
            {1'000 + number, crash_subject_kind::whole_request}};
        guard.note_request(subjects, now);
        if (number % 2 == 0) {
            guard.note_crash(subjects, run_of(100 + number / 500), now);
        }
        else {
            guard.note_survival(subjects, now, now);
        }
        if (number % 250 == 0) {
            guard.note_crash(std::vector{deadly_request}, run_of(100 + number / 500), now);
        }
    }
    const auto end = at(seconds{4});
    EXPECT_LE(guard.evidence().subject_count(), max_crash_subjects);
    const auto reports = guard.digest_reports(end);
    EXPECT_LE(reports.crashes.size(), max_crash_reports);
    EXPECT_LE(reports.survivals.size(), max_survival_reports);
    guard.update(end);
    EXPECT_TRUE(refuses(guard, deadly_request, end));
}

// Guards against survivals of single requests that leave no room for those of parts.
TEST(crash_quarantine, answers_to_many_requests_do_not_keep_a_part_from_being_cleared)
{
    crash_quarantine guard;
    for (std::uint64_t number = 0; number < 10'000; ++number) {
        guard.note_survival(
            std::vector{crash_subject{1'000 + number, crash_subject_kind::whole_request}},
            at(seconds{5}), at(seconds{5}));
    }
    guard.note_survival(std::vector{deadly_part}, at(seconds{5}), at(seconds{5}));
    crash_targets(guard, {deadly_part}, 4, seconds{0});
    guard.update(at(seconds{10}));
    EXPECT_FALSE(refuses(guard, deadly_part, at(seconds{10})));
}

} // namespace
} // namespace chicorylink::fleet
