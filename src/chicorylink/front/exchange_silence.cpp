#include "chicorylink/fleet/next_step.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/forward_fields.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <utility>

// The part of `exchange` that handles targets that send nothing for a while.

namespace chicorylink::front {

using fleet::target_outcome;

bool exchange::is_silent(base::time_point now) const
{
    // While the caller is slow, nothing is read from the target.
    if (running_call() == nullptr || m_reading_paused) {
        return false;
    }
    const auto limit = fleet::stall_timeout(*m_resolved.route);
    const auto since = std::max(m_attempt->last_progress, m_core.resumed_at);
    if (now - since < limit + m_attempt->expected_start) {
        return false;
    }
    if (m_attempt->target.empty()) {
        // The VM may just be slow; its region counts as cut off only if no recent
        // digest of it is known.
        return !m_core.remote_digests.knows(m_attempt->region, now);
    }
    const auto* target = m_core.pool.find(m_attempt->target);
    const bool is_responsive =
        target != nullptr &&
        now - std::max(target->last_bytes_at, target->load.reported_at) < limit;
    return !is_responsive;
}

bool exchange::can_retry_elsewhere(base::time_point now) const
{
    if (m_request.from_peer() || m_silent_attempt || !fleet::may_retry(*m_resolved.route) ||
        (m_history.has_begun && !m_history.can_continue) ||
        m_history.runs + 1 >= m_resolved.route->max_attempts ||
        m_history.arrivals + 1 >= fleet::max_arrivals || m_history.sends >= fleet::max_sends ||
        time_left(now) < fleet::min_attempt_time ||
        !m_core.retries.has_room(m_resolved.service->name, m_core.members.sharers(), now)) {
        return false;
    }
    // A silent target may still respond, so a request that has no other target stays with it.
    const auto local_choice = choose_local_target(now);
    return (local_choice && !local_choice->is_repeat) || !remote_candidates(now).empty();
}

void exchange::on_silence(base::time_point now)
{
    if (!std::exchange(m_silence_reported, true) &&
        m_core.pool.on_unresponsive(m_attempt->target, now)) {
        m_core.connections.close_idle(m_attempt->address);
        write_log(m_core, log_event(m_core, "target_ejected")
                              .add("target", m_attempt->target.text())
                              .add("reason", "silent"));
    }
    if (!can_retry_elsewhere(now)) {
        return;
    }
    log_attempt(*m_attempt, "silent", "looking for another target", now);
    m_core.counters.add("silent_attempts_total");
    m_silent_attempt = std::move(m_attempt);
    ++m_history.arrivals;
    ++m_history.runs;
    m_last_end = fleet::attempt_end::unknown;
    m_is_retry_due = true;
    execute(fleet::next_step::send_again, "the target is silent", now);
}

bool exchange::is_served(const message_head& head) const
{
    return head.status < first_error_status && is_target_response(head) &&
           (!m_response_begun || is_same_stream(head)) &&
           find_field(head.fields, m_core.protocol.names.not_run) == nullptr &&
           find_field(head.fields, outcome_field) == nullptr;
}

bool exchange::is_complete(const attempt& from) const
{
    const bool ends_with_connection = !from.head.chunked && !from.head.content_length;
    const bool has_content =
        is_stream() ? from.has_event : m_response_begun || !from.buffered_body.empty();
    // A close right behind the head is more likely that of a target that broke off than the end of
    // an empty body.
    return !from.events.has_partial() &&
           (has_content || !ends_with_connection || from.head.status != ok_status);
}

void exchange::resume_silent_attempt(base::time_point now)
{
    const bool has_replacement = running_call() != nullptr;
    if (has_replacement) {
        const bool arrived = running_call()->may_have_arrived();
        log_attempt(*m_attempt, "canceled", "the silent target goes on", now);
        running_call()->cancel();
        m_history.arrivals += arrived ? 1 : 0;
        m_history.runs += arrived ? 1 : 0;
    }
    if (m_attempt) {
        release(*m_attempt, now);
    }
    m_is_awaiting_placement = false;
    m_is_retry_due = false;
    m_attempt = std::move(m_silent_attempt);
    m_attempt->last_progress = now;
    m_silence_reported = false;
    // Counted again when the attempt ends.
    --m_history.arrivals;
    --m_history.runs;
}

void exchange::end_silent_attempt(std::string_view detail, base::time_point now)
{
    if (!m_silent_attempt) {
        return;
    }
    const auto ended = std::exchange(m_silent_attempt, nullptr);
    ended->call->cancel();
    log_attempt(*ended, "unknown", detail, now);
    report_outcome(*ended, target_outcome::broken, detail, now);
    release(*ended, now);
}

bool exchange::cancel_attempts(base::time_point now)
{
    if (const auto silent = std::exchange(m_silent_attempt, nullptr)) {
        silent->call->cancel();
        release(*silent, now);
    }
    auto* call = running_call();
    if (call == nullptr) {
        return false;
    }
    const bool arrived = call->may_have_arrived();
    call->cancel();
    release(*m_attempt, now);
    m_attempt->ended = true;
    return arrived;
}

} // namespace chicorylink::front
