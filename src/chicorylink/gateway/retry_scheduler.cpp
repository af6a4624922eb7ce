#include "chicorylink/gateway/retry_scheduler.hpp"

#include "chicorylink/dispatch/retry.hpp"

#include <algorithm>

namespace chicorylink::gateway {

void retry_scheduler::on_request()
{
    const std::lock_guard lock(m_mutex);
    dispatch::note_request(m_budget);
}

std::optional<base::time_point> retry_scheduler::plan(const active_request& entry,
                                                      base::time_point now)
{
    const bool stream_begun = entry.phase == request_phase::responding;
    const dispatch::failed_attempt failed{
        .result = stream_begun ? dispatch::outcome::ran : outcome_so_far(entry),
        .idempotent = entry.route.idempotent,
        // A stream resumes at its offset, so that delivered tokens are not sent again.
        .response_sent = false,
        // A request pinned to this VM can't be retried by the VM that forwarded it.
        .hops = entry.routing_request.pinned ? std::uint8_t{0} : entry.hop,
        .attempts = entry.attempts,
        .deadline = attempt_deadline(entry, now)};
    const std::lock_guard lock(m_mutex);
    const auto plan = dispatch::plan_retry(failed, m_budget, now, entry.id.value());
    return plan ? std::optional(plan->at) : std::nullopt;
}

void retry_scheduler::wait(const active_request_ptr& entry, base::time_point at)
{
    const std::lock_guard lock(m_mutex);
    m_waiting.push_back({entry, at});
}

std::vector<active_request_ptr> retry_scheduler::take_due(base::time_point now)
{
    std::vector<active_request_ptr> due;
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_waiting, [&](const waiter& one) {
        if (one.at > now) {
            return false;
        }
        due.push_back(one.entry);
        return true;
    });
    return due;
}

} // namespace chicorylink::gateway
