#include "chicorylink/fleet/crash_quarantine.hpp"
#include "chicorylink/fleet/crash_test_support.hpp"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using test_support::at;
using test_support::common_part;
using test_support::crash_targets;
using test_support::deadly_part;
using test_support::other_part;
using test_support::refuses;
using test_support::run_of;

/// A VM that has quarantined the deadly part at 10 s, whose last crash was at 3 s.
crash_quarantine guard_with_quarantine()
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_part}, 4, seconds{0});
    guard.update(at(seconds{10}));
    return guard;
}

TEST(crash_quarantine, a_part_of_four_crashes_is_refused_once_they_have_settled)
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_part}, 4, seconds{0});
    guard.update(at(seconds{5}));
    EXPECT_FALSE(refuses(guard, deadly_part, at(seconds{5})));
    const auto changes = guard.update(at(seconds{6}));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().subject, deadly_part);
    EXPECT_EQ(changes.front().cause, quarantine_cause::crashes);
    EXPECT_EQ(changes.front().crashes, 4U);
    EXPECT_EQ(guard.find(std::vector{common_part, deadly_part}, at(seconds{6}))->left,
              first_quarantine_time - seconds{3});
    EXPECT_TRUE(guard.update(at(seconds{7})).empty());
}

TEST(crash_quarantine, a_run_of_a_target_counts_once)
{
    crash_quarantine guard;
    for (int second = 0; second < 9; ++second) {
        guard.note_crash(std::vector{deadly_part}, run_of(1), at(seconds{second}));
    }
    EXPECT_TRUE(guard.update(at(seconds{20})).empty());
}

// Guards against a ban of all parts that were at targets lost at the same time, which the VMs
// notice within some hundred milliseconds.
TEST(crash_quarantine, targets_lost_at_once_count_as_one_crash)
{
    crash_quarantine guard;
    for (int target = 0; target < 9; ++target) {
        guard.note_crash(std::vector{common_part}, run_of(static_cast<std::uint64_t>(target) + 1),
                         at(milliseconds{25 * target}));
    }
    EXPECT_TRUE(guard.update(at(seconds{20})).empty());
}

TEST(crash_quarantine, an_answer_that_began_later_clears_a_part)
{
    crash_quarantine guard;
    crash_targets(guard, {common_part}, 4, seconds{0});
    guard.note_survival(std::vector{common_part}, at(milliseconds{3'100}), at(seconds{5}));
    EXPECT_TRUE(guard.update(at(seconds{20})).empty());
}

TEST(crash_quarantine, an_answer_that_began_before_the_crashes_clears_nothing)
{
    crash_quarantine guard;
    guard.note_survival(std::vector{deadly_part}, at(seconds{0}), at(seconds{1}));
    crash_targets(guard, {deadly_part}, 4, seconds{1});
    EXPECT_EQ(guard.update(at(seconds{20})).size(), 1U);
}

// A survival may be heard before the crash that it refutes.
TEST(crash_quarantine, a_survival_clears_crashes_that_are_reported_later)
{
    crash_quarantine guard;
    guard.note_survival(std::vector{common_part}, at(seconds{4}), at(seconds{5}));
    crash_reports late;
    for (std::uint64_t target = 1; target <= 4; ++target) {
        late.crashes.push_back({common_part, run_of(target), seconds{2 + target}});
    }
    guard.apply(late, true, milliseconds{0}, at(seconds{6}));
    EXPECT_TRUE(guard.update(at(seconds{20})).empty());
}

// Guards against a ban of requests that were cut because another one crashed their target.
TEST(crash_quarantine, crashes_of_a_part_with_more_of_them_blame_no_other_part)
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_part, other_part}, 4, seconds{0});
    guard.note_crash(std::vector{deadly_part}, run_of(9), at(seconds{5}));
    const auto changes = guard.update(at(seconds{20}));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().subject, deadly_part);
}

TEST(crash_quarantine, equally_rare_parts_with_the_same_crashes_are_refused_together)
{
    crash_quarantine guard;
    guard.note_request(std::vector{deadly_part, other_part}, at(seconds{0}));
    crash_targets(guard, {deadly_part, other_part}, 3, seconds{0});
    EXPECT_TRUE(guard.update(at(seconds{20})).empty());
    guard.note_crash(std::vector{deadly_part, other_part}, run_of(9), at(seconds{20}));
    EXPECT_EQ(guard.update(at(seconds{25})).size(), 2U);
}

// Guards against a ban of all parts of a prompt by a VM that only heard of the crashes.
TEST(crash_quarantine, a_vm_without_requests_of_its_own_blames_none_of_several_parts)
{
    crash_quarantine guard;
    crash_targets(guard, {common_part, deadly_part}, 5, seconds{0});
    EXPECT_TRUE(guard.update(at(seconds{10})).empty());
}

// Guards against a ban of what all requests have in common while no answer survives anywhere.
TEST(crash_quarantine, the_rarest_of_parts_with_the_same_crashes_is_refused)
{
    crash_quarantine guard;
    guard.note_request(std::vector{common_part, deadly_part}, at(seconds{0}));
    guard.note_request(std::vector{common_part, other_part}, at(seconds{0}));
    crash_targets(guard, {common_part, deadly_part}, 4, seconds{0});
    const auto changes = guard.update(at(seconds{10}));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().subject, deadly_part);
}

TEST(crash_quarantine, five_crashes_at_two_moments_make_a_part_suspect)
{
    crash_quarantine guard;
    for (int crash = 0; crash < 5; ++crash) {
        guard.note_crash(std::vector{deadly_part}, run_of(static_cast<std::uint64_t>(crash) + 1),
                         at(milliseconds{crash < 2 ? 0 : 300}));
    }
    EXPECT_TRUE(guard.update(at(seconds{3})).empty());
    EXPECT_EQ(guard.update(at(seconds{4})).size(), 1U);
}

TEST(crash_quarantine, old_crashes_are_forgotten)
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_part}, 2, seconds{0});
    const auto later = std::chrono::duration_cast<seconds>(crash_lifetime) + seconds{2};
    crash_targets(guard, {deadly_part}, 2, later);
    EXPECT_TRUE(guard.update(at(later + seconds{10})).empty());
    EXPECT_TRUE(guard.update(at(later + crash_lifetime + seconds{10})).empty());
    EXPECT_EQ(guard.evidence().subject_count(), 0U);
}

TEST(crash_quarantine, a_suspect_is_not_forgotten_among_many_parts)
{
    crash_quarantine guard;
    std::uint64_t next_part = 100;
    for (int crash = 0; crash < 40; ++crash) {
        std::vector<crash_subject> parts{deadly_part};
        for (int count = 0; count < 50; ++count) {
            parts.push_back({++next_part});
        }
        const auto now = at(milliseconds{300 * crash});
        guard.note_crash(parts, run_of(static_cast<std::uint64_t>(crash) + 1), now);
        EXPECT_LE(guard.evidence().subject_count(), max_crash_subjects);
        EXPECT_LE(guard.take_own(now).crashes.size(), max_crash_reports);
        EXPECT_LE(guard.digest_reports(now).crashes.size(), max_crash_reports);
    }
    const auto changes = guard.update(at(seconds{12}));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().subject, deadly_part);
}

TEST(crash_quarantine, reports_are_sent_twice_and_told_for_a_while)
{
    crash_quarantine guard;
    crash_targets(guard, {deadly_part}, 1, seconds{0});
    guard.note_survival(std::vector{other_part}, at(seconds{0}), at(seconds{1}));
    EXPECT_EQ(guard.take_own(at(milliseconds{25})).crashes.size(), 1U);
    const auto again = guard.take_own(at(milliseconds{50}));
    ASSERT_EQ(again.crashes.size(), 1U);
    EXPECT_EQ(again.crashes.front().age, milliseconds{50});
    // Nobody needs to hear of parts that were in no crash.
    EXPECT_TRUE(again.survivals.empty());
    EXPECT_TRUE(guard.take_own(at(milliseconds{75})).empty());
    EXPECT_EQ(guard.digest_reports(at(seconds{5})).crashes.size(), 1U);
    EXPECT_TRUE(guard.digest_reports(at(crash_report_time + seconds{1})).empty());
}

// Guards against reports that go round between VMs and look newer with each of them.
TEST(crash_quarantine, relayed_reports_are_not_passed_on)
{
    crash_quarantine guard;
    guard.apply({{{deadly_part, run_of(1), milliseconds{0}}}, {{deadly_part, milliseconds{0}}}, {}},
                true, milliseconds{0}, at(seconds{0}));
    EXPECT_TRUE(guard.take_own(at(seconds{1})).empty());
    EXPECT_TRUE(guard.digest_reports(at(seconds{1})).empty());
    guard.apply({{{deadly_part, run_of(2), milliseconds{0}}}, {}, {}}, false, milliseconds{0},
                at(seconds{1}));
    EXPECT_TRUE(guard.take_own(at(seconds{1})).empty());
    EXPECT_EQ(guard.digest_reports(at(seconds{1})).crashes.size(), 1U);
}

TEST(crash_quarantine, a_survivor_lifts_the_quarantine)
{
    auto guard = guard_with_quarantine();
    ASSERT_TRUE(refuses(guard, deadly_part, at(seconds{10})));
    const auto stale = guard.digest_reports(at(seconds{10}));
    guard.note_survival(std::vector{deadly_part}, at(seconds{1}), at(seconds{11}));
    EXPECT_TRUE(guard.update(at(seconds{11})).empty());
    guard.note_survival(std::vector{deadly_part}, at(seconds{9}), at(seconds{11}));
    const auto changes = guard.update(at(seconds{11}));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().cause, quarantine_cause::survived);
    EXPECT_FALSE(refuses(guard, deadly_part, at(seconds{11})));
    // A VM that has not heard of it still reports the quarantine.
    guard.apply(stale, true, milliseconds{0}, at(seconds{11}));
    EXPECT_TRUE(guard.update(at(seconds{12})).empty());
    EXPECT_FALSE(refuses(guard, deadly_part, at(seconds{12})));
}

TEST(crash_quarantine, a_released_part_explains_no_crashes)
{
    auto guard = guard_with_quarantine();
    guard.note_survival(std::vector{deadly_part}, at(seconds{9}), at(seconds{11}));
    guard.update(at(seconds{11}));
    crash_targets(guard, {deadly_part, other_part}, 4, seconds{20});
    guard.note_survival(std::vector{deadly_part}, at(seconds{24}), at(seconds{26}));
    const auto changes = guard.update(at(seconds{30}));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().subject, other_part);
}

TEST(crash_quarantine, a_crash_on_probation_doubles_the_time)
{
    auto guard = guard_with_quarantine();
    const auto end = seconds{3} + first_quarantine_time;
    EXPECT_TRUE(refuses(guard, deadly_part, at(end - milliseconds{1})));
    EXPECT_FALSE(refuses(guard, deadly_part, at(end)));
    ASSERT_EQ(guard.update(at(end)).size(), 1U);
    const auto crashed = end + seconds{30};
    guard.note_crash(std::vector{deadly_part}, run_of(7), at(crashed));
    const auto changes = guard.update(at(crashed));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().cause, quarantine_cause::crash_on_probation);
    EXPECT_EQ(guard.find(std::vector{deadly_part}, at(crashed))->left, 2 * first_quarantine_time);
}

TEST(crash_quarantine, the_time_is_bounded)
{
    EXPECT_EQ(quarantine_time(crash_subject_kind::prompt_part, 1), first_quarantine_time);
    EXPECT_EQ(quarantine_time(crash_subject_kind::prompt_part, 2), 2 * first_quarantine_time);
    EXPECT_EQ(quarantine_time(crash_subject_kind::prompt_part, 1'000'000), max_quarantine_time);
}

// Guards against VMs that prolong a quarantine for each other.
TEST(crash_quarantine, a_reported_quarantine_does_not_prolong_a_known_one)
{
    auto first = guard_with_quarantine();
    crash_quarantine second;
    for (int second_of_time = 10; second_of_time < 300; ++second_of_time) {
        const auto now = at(seconds{second_of_time});
        second.apply(first.digest_reports(now), true, milliseconds{0}, now + milliseconds{200});
        first.apply(second.digest_reports(now), true, milliseconds{0}, now + milliseconds{200});
        first.update(now + milliseconds{200});
        second.update(now + milliseconds{200});
        const bool is_over = now >= at(seconds{3} + first_quarantine_time + seconds{2});
        EXPECT_EQ(refuses(first, deadly_part, now), now < at(seconds{3} + first_quarantine_time));
        EXPECT_FALSE(is_over && refuses(second, deadly_part, now));
    }
}

TEST(crash_quarantine, an_end_with_the_connection_counts_when_the_target_crashed)
{
    crash_quarantine guard;
    for (int crash = 0; crash < 4; ++crash) {
        const auto run = run_of(static_cast<std::uint64_t>(crash) + 1);
        const auto now = at(seconds{crash});
        guard.note_unconfirmed_end(std::vector{deadly_part}, run, now);
        // Another VM saw the crash.
        const crash_reports reports{{{other_part, run, milliseconds{1'000}}}, {}, {}};
        guard.apply(reports, true, milliseconds{0}, now + milliseconds{1'100});
        guard.note_survival(std::vector{other_part}, now + milliseconds{200}, now + seconds{1});
    }
    guard.note_unconfirmed_end(std::vector{common_part}, run_of(3), at(seconds{8}));
    const auto changes = guard.update(at(seconds{9}));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().subject, deadly_part);
}
} // namespace
} // namespace chicorylink::fleet
