#include "chicorylink/fleet/next_step.hpp"
#include "chicorylink/fleet/target_health.hpp"

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

route route_of(request_kind kind, std::uint32_t attempts, bool resumable = false)
{
    route asked;
    asked.kind = kind;
    asked.max_attempts = attempts;
    asked.resumable = resumable;
    return asked;
}

TEST(next_step, a_request_that_may_have_run_is_sent_again_only_when_it_may_repeat)
{
    const attempt_history ran{1, 1, false, false};
    EXPECT_EQ(
        decide_next(route_of(request_kind::at_most_once, 3), ran, attempt_end::unknown, seconds{1}),
        next_step::fail);
    EXPECT_EQ(decide_next(route_of(request_kind::stream, 3), ran, attempt_end::unknown, seconds{1}),
              next_step::fail);
    EXPECT_EQ(
        decide_next(route_of(request_kind::idempotent, 2), ran, attempt_end::unknown, seconds{1}),
        next_step::send_again);
    EXPECT_EQ(
        decide_next(route_of(request_kind::stream, 2, true), ran, attempt_end::unknown, seconds{1}),
        next_step::send_again);
}

// Incidents inc-95c5 and inc-e7cd: while all targets of a service in a region refused connections,
// each request was sent again at once until its deadline, 140 times on average.
TEST(next_step, a_request_that_no_target_accepts_is_refused_soon)
{
    attempt_history refused;
    const auto asked = route_of(request_kind::at_most_once, 1);
    refused.sends = max_sends - 1;
    EXPECT_EQ(decide_next(asked, refused, attempt_end::not_sent, seconds{1}),
              next_step::send_again);
    refused.sends = max_sends;
    EXPECT_EQ(decide_next(asked, refused, attempt_end::not_sent, seconds{1}), next_step::refuse);
}

/// Every state that attempts can lead to.
template <class Check>
void for_all_states(const Check& check)
{
    for (const auto kind :
         {request_kind::idempotent, request_kind::at_most_once, request_kind::stream}) {
        for (const bool resumable : {false, true}) {
            for (std::uint32_t arrivals = 0; arrivals <= max_arrivals; ++arrivals) {
                for (std::uint32_t runs = 0; runs <= arrivals; ++runs) {
                    for (const bool begun : {false, true}) {
                        for (const bool peer : {false, true}) {
                            for (const auto end : {attempt_end::not_sent, attempt_end::rejected,
                                                   attempt_end::failed, attempt_end::unknown}) {
                                check(route_of(kind, 2, resumable),
                                      attempt_history{arrivals, runs, begun, peer}, end);
                            }
                        }
                    }
                }
            }
        }
    }
}

TEST(next_step, a_refusal_is_told_only_for_a_request_that_never_ran)
{
    for_all_states([](const route& asked, const attempt_history& history, attempt_end end) {
        const bool ended_in_run = end == attempt_end::failed || end == attempt_end::unknown;
        if (ended_in_run && history.runs == 0) {
            return; // Not a state: an attempt that ran is counted before.
        }
        for (const auto left : {milliseconds{0}, milliseconds{2000}}) {
            if (decide_next(asked, history, end, left) == next_step::refuse) {
                EXPECT_EQ(history.runs, 0U);
                EXPECT_FALSE(history.has_begun);
            }
        }
        if (give_up(history, end) == next_step::refuse) {
            EXPECT_EQ(history.runs, 0U);
        }
    });
}

TEST(next_step, a_request_that_may_not_repeat_is_never_sent_after_it_may_have_run)
{
    for_all_states([](const route& asked, const attempt_history& history, attempt_end end) {
        const bool ended_in_run = end == attempt_end::failed || end == attempt_end::unknown;
        if (!may_repeat(asked) && ended_in_run) {
            EXPECT_NE(decide_next(asked, history, end, milliseconds{2000}), next_step::send_again);
        }
    });
}

TEST(next_step, a_stream_that_was_begun_is_continued_or_cut_but_never_answered_anew)
{
    for_all_states([](const route& asked, const attempt_history& history, attempt_end end) {
        if (history.has_begun) {
            const auto step = decide_next(asked, history, end, milliseconds{2000});
            EXPECT_TRUE(step == next_step::cut || step == next_step::send_again);
        }
    });
}

TEST(next_step, no_more_targets_run_it_than_the_route_allows)
{
    const attempt_history twice{2, 2, false, false};
    EXPECT_EQ(
        decide_next(route_of(request_kind::idempotent, 2), twice, attempt_end::unknown, seconds{1}),
        next_step::fail);
    EXPECT_EQ(
        decide_next(route_of(request_kind::idempotent, 2), twice, attempt_end::failed, seconds{1}),
        next_step::pass_answer);
}

TEST(next_step, a_vm_that_was_forwarded_a_request_leaves_repeats_to_the_sender)
{
    const attempt_history forwarded{1, 1, false, true};
    EXPECT_EQ(decide_next(route_of(request_kind::idempotent, 3), forwarded, attempt_end::unknown,
                          seconds{1}),
              next_step::fail);
}

TEST(next_step, without_time_nothing_is_sent)
{
    EXPECT_EQ(decide_next(route_of(request_kind::idempotent, 3), {1, 0, false, false},
                          attempt_end::rejected, milliseconds{10}),
              next_step::refuse);
}

TEST(target_health, single_broken_answers_do_not_eject_a_target)
{
    target_health health;
    const base::time_point now{seconds{1}};
    for (int turn = 0; turn < 20; ++turn) {
        EXPECT_FALSE(on_outcome(health, target_outcome::broken, now));
        EXPECT_FALSE(on_outcome(health, target_outcome::answered, now));
    }
}

TEST(target_health, ejections_grow_until_the_target_answers)
{
    target_health health;
    base::time_point now{seconds{1}};
    base::nanoseconds last{0};
    for (int turn = 0; turn < 6; ++turn) {
        EXPECT_TRUE(on_outcome(health, target_outcome::unreachable, now));
        const auto length = health.ejected_until - now;
        EXPECT_GE(length, last);
        EXPECT_LE(length, longest_ejection);
        last = length;
        now = health.ejected_until;
    }
    EXPECT_TRUE(is_on_probation(health));
    (void)on_outcome(health, target_outcome::answered, now);
    EXPECT_FALSE(is_on_probation(health));
    EXPECT_FALSE(is_ejected(health, now));
}

TEST(target_health, a_target_that_fails_while_it_answers_is_rated_lower)
{
    target_health health;
    const base::time_point now{seconds{1}};
    for (int turn = 0; turn < 30; ++turn) {
        (void)on_outcome(health, target_outcome::server_error, now);
    }
    EXPECT_FALSE(is_ejected(health, now));
    EXPECT_GT(health.failure_rate, 0.9);
}

} // namespace
} // namespace chicorylink::fleet
