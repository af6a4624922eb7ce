#include "chicorylink/fleet/next_step.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/front_core.hpp"

#include <utility>

// The part of `exchange` that handles streams that have begun and have no target: VMs and targets
// that are replaced one after the other may all be away at the moment at which one of them ends.

namespace chicorylink::front {
namespace {

/// Pause between two searches for a target.
constexpr base::milliseconds search_interval{200};

} // namespace

bool exchange::await_target(std::string_view reason, base::time_point now)
{
    if (m_caller == nullptr || m_silent_attempt || m_request.from_peer() || !m_history.has_begun ||
        !m_history.can_continue || !fleet::may_retry(*m_resolved.route) ||
        now - m_last_event_at >= fleet::event_patience(*m_resolved.route) ||
        time_left(now) < fleet::min_attempt_time) {
        return false;
    }
    if (!std::exchange(m_wait_logged, true)) {
        m_core.counters.add("streams_awaiting_target_total");
        write_log(m_core, log_event(m_core, "stream_awaits_target")
                              .add("request", m_request.id)
                              .add("reason", reason)
                              .add("left_ms", time_left(now).count()));
    }
    m_search_at = now + search_interval;
    return true;
}

void exchange::wait_or_refuse(const refusal& cause, base::time_point now)
{
    if (!await_target(cause.reason, now)) {
        refuse(cause, now);
    }
}

void exchange::search_again(base::time_point now)
{
    m_search_at.reset();
    if (const auto refused = resolve_request(now)) {
        wait_or_refuse(*refused, now);
        return;
    }
    // Taken before the search: until a target is found, other streams may use up the budget.
    if (m_is_retry_due && !take_retry(now)) {
        if (!await_target("no retry budget", now)) {
            execute(fleet::give_up(m_history, m_last_end), "no retry budget", now);
        }
        return;
    }
    m_is_retry_due = false;
    dispatch(now);
}

} // namespace chicorylink::front
