#include "chicorylink/dispatch/retry.hpp"
#include "chicorylink/dispatch/stream_progress.hpp"

#include <gtest/gtest.h>

namespace chicorylink::dispatch {
namespace {

constexpr base::time_point start{};
constexpr attempt_id first{base::incarnation{1}, 1};
constexpr attempt_id second{base::incarnation{1}, 2};

failed_attempt failure(outcome result, bool idempotent)
{
    return {
        .result = result, .idempotent = idempotent, .deadline = start + std::chrono::seconds{10}};
}

bool is_retried(failed_attempt failed)
{
    retry_budget budget{.credit = retry_budget::limit};
    return plan_retry(failed, budget, start, 1).has_value();
}

TEST(retry, only_requests_that_cannot_run_twice)
{
    EXPECT_TRUE(is_retried(failure(outcome::not_run, false)));
    EXPECT_TRUE(is_retried(failure(outcome::unknown, true)));
    EXPECT_FALSE(is_retried(failure(outcome::unknown, false)));
    EXPECT_FALSE(is_retried(failure(outcome::ran, false)));
    auto partly_sent = failure(outcome::ran, true);
    partly_sent.response_sent = true;
    EXPECT_FALSE(is_retried(partly_sent));
}

TEST(retry, only_at_the_entry_vm_within_attempt_limit_and_deadline)
{
    auto failed = failure(outcome::not_run, true);
    failed.hops = 1;
    EXPECT_FALSE(is_retried(failed));
    failed.hops = 0;
    failed.attempts = max_attempts;
    EXPECT_FALSE(is_retried(failed));
    failed.attempts = 1;
    failed.deadline = start;
    EXPECT_FALSE(is_retried(failed));
}

TEST(retry, stays_within_a_tenth_of_the_requests)
{
    retry_budget budget;
    int retries = 0;
    constexpr int requests = 10'000;
    for (int i = 0; i < requests; ++i) {
        note_request(budget);
        const auto plan = plan_retry(failure(outcome::not_run, true), budget, start,
                                     static_cast<std::uint64_t>(i));
        retries += plan ? 1 : 0;
    }
    EXPECT_LE(retries, requests / 10);
    EXPECT_GE(retries, requests / 10 - 1);
}

TEST(retry, credit_is_capped_after_a_period_without_retries)
{
    retry_budget budget;
    for (int i = 0; i < 1'000'000; ++i) {
        note_request(budget);
    }
    int retries = 0;
    while (take_retry(budget)) {
        ++retries;
    }
    EXPECT_EQ(retries, 20);
}

TEST(stream_progress, passes_each_token_once_across_a_resume)
{
    stream_progress progress{.source = first};
    EXPECT_EQ(take_token(progress, first, 0), token_verdict::pass_on);
    EXPECT_EQ(take_token(progress, first, 1), token_verdict::pass_on);
    EXPECT_EQ(resume_with(progress, second, true), resume_verdict::resume);
    EXPECT_EQ(take_token(progress, first, 2), token_verdict::drop);
    EXPECT_EQ(take_token(progress, second, 1), token_verdict::drop);
    EXPECT_EQ(take_token(progress, second, 2), token_verdict::pass_on);
    EXPECT_EQ(take_end(progress, first, 3), token_verdict::drop);
    EXPECT_EQ(take_end(progress, second, 3), token_verdict::pass_on);
    EXPECT_EQ(take_token(progress, second, 3), token_verdict::drop);
}

TEST(stream_progress, never_ends_cleanly_with_tokens_missing)
{
    stream_progress progress{.source = first};
    EXPECT_EQ(take_token(progress, first, 1), token_verdict::gap);
    EXPECT_EQ(take_end(progress, first, 1), token_verdict::gap);
    EXPECT_EQ(resume_with(progress, second, false), resume_verdict::restart);
    EXPECT_EQ(take_token(progress, second, 0), token_verdict::pass_on);
    EXPECT_EQ(resume_with(progress, first, false), resume_verdict::abort_response);
}

} // namespace
} // namespace chicorylink::dispatch
