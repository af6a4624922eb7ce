#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>

// The part of `exchange` that reserves times for refused callers to return.

namespace chicorylink::front {

base::milliseconds exchange::reserved_wait(const fleet::region_request& request,
                                           base::time_point now) const
{
    // Requests that were sent already, here or by another VM, don't queue again.
    if (m_is_caller_retry || m_request.from_peer() || m_history.arrivals > 0 ||
        m_history.has_begun) {
        return base::milliseconds{0};
    }
    return m_core.reserved_returns.reserved_wait(m_resolved.service->name, longest_wait(request),
                                                 urgency_of(m_resolved), now);
}

base::milliseconds exchange::delay_until_return(base::milliseconds excess, base::time_point now)
{
    // The VM that the caller sent the request to reserves; the caller returns there.
    if (!m_request.from_peer() &&
        fleet::may_run_in(*m_resolved.route, m_resolved.team, m_core.settings.self.region)) {
        scheduling::return_request returning;
        returning.earliest = std::max(excess, fleet::min_retry_after);
        returning.time_left = time_left(now);
        returning.rank = urgency_of(m_resolved);
        returning.may_return = !m_is_caller_retry;
        m_return = m_core.reserved_returns.reserve(m_resolved.service->name, returning, now);
    }
    if (!m_return) {
        return retry_delay(excess, fleet::retry_jitter::queue);
    }
    m_core.counters.add(m_return->is_reserved ? "returns_reserved_total"
                                              : "returns_not_reserved_total");
    return std::min(m_return->wait, fleet::max_retry_after);
}

void exchange::note_begun(int status)
{
    // A request that was served by another region took nothing of this one's targets.
    if (!m_attempt->target.empty() && status < first_server_error_status) {
        m_core.reserved_returns.note_begun(m_resolved.service->name, m_response_begun_at);
    }
}

void exchange::log_return(base::log_line& line, base::time_point now) const
{
    if (!m_shortest_wait) {
        return;
    }
    const auto request = make_region_request(now);
    line.add("shortest_wait_ms", m_shortest_wait->count());
    line.add("longest_wait_ms", longest_wait(request).count());
    line.add("reserved_wait_ms", request.reserved_wait.count());
    line.add("is_return", m_is_caller_retry);
    if (m_return) {
        line.add("return_wait_ms", m_return->wait.count());
        line.add("return_reserved", m_return->is_reserved);
        line.add("reservations", m_return->reservations);
        line.add("begun_per_second",
                 m_core.reserved_returns.per_second(m_resolved.service->name, now).value_or(0));
    }
}

base::milliseconds exchange::retry_delay_after_rejection(base::time_point now)
{
    auto wait = wait_for_targets(now);
    if (m_peer_retry_after) {
        wait = std::min(wait.value_or(*m_peer_retry_after), *m_peer_retry_after);
    }
    return wait ? retry_delay(*wait, fleet::retry_jitter::requested_wait)
                : retry_delay(fleet::min_retry_after, fleet::retry_jitter::queue);
}

} // namespace chicorylink::front
