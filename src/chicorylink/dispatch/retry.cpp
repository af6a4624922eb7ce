#include "chicorylink/dispatch/retry.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>

namespace chicorylink::dispatch {
namespace {

constexpr base::milliseconds base_delay{10};
constexpr std::uint64_t jitter_steps = 1024;

bool may_run_again(const failed_attempt& failed)
{
    return failed.result == outcome::not_run || (failed.idempotent && !failed.response_sent);
}

base::nanoseconds delay_of(const failed_attempt& failed, std::uint64_t seed)
{
    const base::nanoseconds max_delay = base_delay * (1U << failed.attempts);
    const auto step =
        static_cast<std::int64_t>(base::hash_pair(seed, failed.attempts) % jitter_steps);
    return max_delay * step / static_cast<std::int64_t>(jitter_steps);
}

} // namespace

void note_request(retry_budget& budget)
{
    budget.credit = std::min(budget.credit + retry_budget::per_request, retry_budget::limit);
}

bool take_retry(retry_budget& budget)
{
    if (budget.credit < retry_budget::per_retry) {
        return false;
    }
    budget.credit -= retry_budget::per_retry;
    return true;
}

std::optional<retry_plan> plan_retry(const failed_attempt& failed, retry_budget& budget,
                                     base::time_point now, std::uint64_t seed)
{
    if (failed.hops != 0 || failed.attempts >= max_attempts || !may_run_again(failed)) {
        return std::nullopt;
    }
    const auto at = now + delay_of(failed, seed);
    if (at >= failed.deadline || !take_retry(budget)) {
        return std::nullopt;
    }
    return retry_plan{.at = at, .exclude_failed_target = true};
}

} // namespace chicorylink::dispatch
