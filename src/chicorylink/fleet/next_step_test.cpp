#include "chicorylink/fleet/next_step.hpp"
#include "chicorylink/fleet/target_health.hpp"

#include <utility>

#include <gtest/gtest.h>

namespace chicorylink::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

route route_of(request_kind kind, std::uint32_t attempts, bool resumable = false)
{
    route request_route;
    request_route.kind = kind;
    request_route.max_attempts = attempts;
    request_route.resumable = resumable;
    return request_route;
}

TEST(next_step, retries_a_request_that_may_have_run_only_if_repeatable)
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

// While all targets of a service in a region refused connections, each request was retried at once
// until its deadline, 140 times on average.
TEST(next_step, limits_attempts_when_no_target_accepts_the_request)
{
    attempt_history refused;
    const auto request_route = route_of(request_kind::at_most_once, 1);
    refused.sends = max_sends - 1;
    EXPECT_EQ(decide_next(request_route, refused, attempt_end::not_sent, seconds{1}),
              next_step::send_again);
    refused.sends = max_sends;
    EXPECT_EQ(decide_next(request_route, refused, attempt_end::not_sent, seconds{1}),
              next_step::refuse);
}

/// Runs a check for every combination of route, history and attempt end.
template <class Check>
void for_all_states(const Check& check)
{
    for (const auto kind :
         {request_kind::idempotent, request_kind::at_most_once, request_kind::stream}) {
        for (const bool resumable : {false, true}) {
            for (std::uint32_t arrivals = 0; arrivals <= max_arrivals; ++arrivals) {
                for (std::uint32_t runs = 0; runs <= arrivals; ++runs) {
                    for (const auto& [begun, can_continue] :
                         {std::pair{false, false}, std::pair{true, false}, std::pair{true, true}}) {
                        for (const bool peer : {false, true}) {
                            for (const auto end : {attempt_end::not_sent, attempt_end::rejected,
                                                   attempt_end::failed, attempt_end::unknown}) {
                                check(route_of(kind, 2, resumable),
                                      attempt_history{arrivals, runs, begun, peer, arrivals,
                                                      can_continue},
                                      end);
                            }
                        }
                    }
                }
            }
        }
    }
}

TEST(next_step, refuses_only_requests_that_never_ran)
{
    for_all_states([](const route& request_route, const attempt_history& history, attempt_end end) {
        const bool ended_in_run = end == attempt_end::failed || end == attempt_end::unknown;
        if (ended_in_run && history.runs == 0) {
            return; // Impossible: an attempt that ran is already counted.
        }
        for (const auto time_left : {milliseconds{0}, milliseconds{2000}}) {
            if (decide_next(request_route, history, end, time_left) == next_step::refuse) {
                EXPECT_EQ(history.runs, 0U);
                EXPECT_FALSE(history.has_begun);
            }
        }
        if (give_up(history, end) == next_step::refuse) {
            EXPECT_EQ(history.runs, 0U);
        }
    });
}

TEST(next_step, never_retries_a_non_repeatable_request_that_may_have_run)
{
    for_all_states([](const route& request_route, const attempt_history& history, attempt_end end) {
        const bool ended_in_run = end == attempt_end::failed || end == attempt_end::unknown;
        if (!may_retry(request_route) && ended_in_run) {
            EXPECT_NE(decide_next(request_route, history, end, milliseconds{2000}),
                      next_step::send_again);
        }
    });
}

TEST(next_step, a_begun_stream_is_resumed_or_aborted)
{
    for_all_states([](const route& request_route, const attempt_history& history, attempt_end end) {
        if (history.has_begun) {
            const auto step = decide_next(request_route, history, end, milliseconds{2000});
            EXPECT_TRUE(step == next_step::abort_stream || step == next_step::send_again);
        }
    });
}

// Guards against a second response behind the begun part of the first: only a stream whose last
// event has an id can be continued.
TEST(next_step, a_begun_response_that_cannot_continue_is_aborted)
{
    for_all_states([](const route& request_route, const attempt_history& history, attempt_end end) {
        if (history.has_begun && !history.can_continue) {
            EXPECT_EQ(decide_next(request_route, history, end, milliseconds{2000}),
                      next_step::abort_stream);
        }
    });
}

TEST(next_step, runs_are_limited_by_the_route)
{
    const attempt_history twice{2, 2, false, false};
    EXPECT_EQ(
        decide_next(route_of(request_kind::idempotent, 2), twice, attempt_end::unknown, seconds{1}),
        next_step::fail);
    EXPECT_EQ(
        decide_next(route_of(request_kind::idempotent, 2), twice, attempt_end::failed, seconds{1}),
        next_step::pass_response);
}

TEST(next_step, a_forwarded_request_is_not_retried)
{
    const attempt_history forwarded{1, 1, false, true};
    EXPECT_EQ(decide_next(route_of(request_kind::idempotent, 3), forwarded, attempt_end::unknown,
                          seconds{1}),
              next_step::fail);
}

TEST(next_step, does_not_retry_without_time_left)
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
        EXPECT_LE(length, max_ejection_time);
        last = length;
        now = health.ejected_until;
    }
    EXPECT_TRUE(is_on_probation(health));
    (void)on_outcome(health, target_outcome::answered, now);
    EXPECT_FALSE(is_on_probation(health));
    EXPECT_FALSE(is_ejected(health, now));
}

TEST(target_health, server_errors_raise_the_failure_rate)
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
