#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/stream_position.hpp"
#include "chicorylink/front/caller_connection.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/forward_fields.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/response_buffers.hpp"
#include "chicorylink/front/retry_after.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <utility>

// The part of `exchange` that reads an attempt's response and passes it to the caller.

namespace chicorylink::front {
namespace {

using fleet::attempt_end;
using fleet::target_outcome;

/// Whether callers take a status as a promise that the request did not run and never will.
bool promises_not_run(int status)
{
    return status == request_timeout_status || status == misdirected_status ||
           status == too_many_requests_status || status == unavailable_status;
}

/// The events of the current read that are not sent yet. Shared by all streams, because the loop
/// has one thread: buffers of their own, of 64 KB each, fragment the heap beside the send buffers.
std::string& unsent_events()
{
    static std::string events;
    return events;
}

} // namespace

bool exchange::is_target_response(const message_head& head) const
{
    const auto& names = m_core.protocol.names;
    const bool is_signed = find_field(head.fields, names.signature) != nullptr;
    const bool is_encoded = find_field(head.fields, "Content-Encoding") != nullptr;
    const bool is_client_error =
        head.status >= first_error_status && head.status < first_server_error_status;
    // A success must also carry the request id.
    const bool has_request_id =
        head.status >= first_error_status || find_field(head.fields, names.request_id) != nullptr;
    const bool is_contradictory =
        head.status < first_error_status && find_field(head.fields, names.not_run) != nullptr;
    return !is_encoded && !is_contradictory && has_request_id && (is_signed || is_client_error);
}

bool exchange::is_same_stream(const message_head& head) const
{
    return head.status == m_begun_status && same_name(media_type(head.fields), m_begun_media_type);
}

bool exchange::comes_behind_last(const attempt& from, const base::sse_event& event) const
{
    if (!from.is_continuation || event.is_comment) {
        return true;
    }
    // Only an id shows where a continuation begins.
    return event.id.empty() ? from.has_event : fleet::follows(event.id, m_last_event_id);
}

void exchange::on_head(std::uint32_t number, const message_head& head)
{
    const auto now = base::boot_now();
    const auto& names = m_core.protocol.names;
    if (is_silent_attempt(number)) {
        if (!is_served(head)) {
            end_silent_attempt("the silent target failed", now);
            return;
        }
        resume_silent_attempt(now);
    }
    auto& current = *m_attempt;
    current.head = head;
    current.last_progress = now;
    m_core.pool.on_bytes_received(current.target, now);
    read_load(head, now);
    read_notices(head, now);
    read_version(head);
    read_limit(head, now);
    const auto* peer_outcome =
        current.target.empty() ? find_field(head.fields, outcome_field) : nullptr;
    if (peer_outcome != nullptr) {
        const auto* retry_after = find_field(head.fields, retry_after_field);
        if (const auto wait =
                retry_after == nullptr ? std::nullopt : parse_retry_after(*retry_after)) {
            m_peer_retry_after = std::min(m_peer_retry_after.value_or(*wait), *wait);
        }
        current.call->discard();
        end_attempt(*peer_outcome == outcome_not_run ? attempt_end::rejected : attempt_end::unknown,
                    target_outcome::broken, "the other VM has no answer", now);
        return;
    }
    const bool is_rejection =
        head.status >= first_error_status && find_field(head.fields, names.not_run) != nullptr;
    if (head.status == misdirected_status || is_rejection) {
        if (head.status == misdirected_status && !current.target.empty()) {
            m_core.pool.on_displaced(current.target);
            m_core.connections.close_idle(current.address);
        }
        current.call->discard();
        end_attempt(attempt_end::rejected, target_outcome::shed,
                    head.status == misdirected_status ? "another target has the address"
                                                      : "the target rejected it",
                    now);
        return;
    }
    if (!is_target_response(head)) {
        current.call->cancel();
        end_attempt(attempt_end::unknown, target_outcome::broken, "not a target's answer", now);
        return;
    }
    log_unknown_fields(head);
    if (promises_not_run(head.status) && !fleet::may_retry(*m_resolved.route)) {
        current.call->discard();
        end_attempt(attempt_end::unknown, target_outcome::server_error,
                    "the target does not say that the request did not run", now);
        return;
    }
    if (is_stream() && head.status < first_error_status && !is_same_version()) {
        current.call->discard();
        end_attempt(attempt_end::unknown, target_outcome::server_error,
                    "the stream began at another version", now);
        return;
    }
    current.is_continuation = m_response_begun;
    if (current.is_continuation && !is_same_stream(head)) {
        current.call->discard();
        end_attempt(attempt_end::unknown, target_outcome::server_error,
                    "the continuation of the stream failed", now);
    }
}

void exchange::note_progress(base::time_point now)
{
    m_attempt->last_progress = now;
    m_core.pool.on_bytes_received(m_attempt->target, now);
}

void exchange::pause_for_slow_caller()
{
    const auto allowance = m_core.response_bytes->allowance();
    if (m_caller != nullptr && m_caller->unsent() > allowance && !m_reading_paused) {
        m_reading_paused = true;
        m_attempt->call->pause_reading();
    }
}

void exchange::count_held(attempt& from)
{
    if (!from.held) {
        from.held = std::make_unique<held_bytes>(m_core.response_bytes);
    }
    from.held->set(from.buffered_body.size() + from.events.unread());
}

void exchange::on_body(std::uint32_t number, std::string_view piece)
{
    const auto now = base::boot_now();
    auto& from = is_silent_attempt(number) ? *m_silent_attempt : *m_attempt;
    if (is_silent_attempt(number) && from.head.status >= first_error_status) {
        // The other attempt may still be served.
        return;
    }
    if (!is_stream() || from.head.status >= first_error_status) {
        if (is_silent_attempt(number)) {
            resume_silent_attempt(now);
        }
        note_progress(now);
        note_answer_progress(now);
        from.buffered_body.append(piece);
        if (m_response_begun || from.buffered_body.size() > m_core.response_bytes->allowance()) {
            flush_buffered(now);
        }
        count_held(from);
        pause_for_slow_caller();
        return;
    }
    unsent_events().clear();
    from.events.feed(piece);
    while (const auto event = from.events.next()) {
        if (!comes_behind_last(from, *event)) {
            send_events();
            reject_body(number, "the continuation does not follow the last event", now);
            return;
        }
        if (!event->is_comment && is_silent_attempt(number)) {
            resume_silent_attempt(now);
        }
        on_event(from, *event, now);
    }
    send_events();
    count_held(from);
    const auto allowance = m_core.response_bytes->allowance();
    if (from.events.overflowed() || from.events.unread() > allowance) {
        reject_body(number, "an event has no end", now);
        return;
    }
    if (from.buffered_body.size() > allowance) {
        reject_body(number, "comments without an event", now);
        return;
    }
    if (!is_silent_attempt(number)) {
        pause_for_slow_caller();
    }
}

void exchange::reject_body(std::uint32_t number, std::string_view detail, base::time_point now)
{
    if (is_silent_attempt(number)) {
        end_silent_attempt(detail, now);
        return;
    }
    m_attempt->call->cancel();
    end_attempt(attempt_end::unknown, target_outcome::broken, detail, now);
}

void exchange::on_event(attempt& from, const base::sse_event& event, base::time_point now)
{
    if (m_caller == nullptr) {
        return;
    }
    if (event.is_comment) {
        // Comments only keep the connection open; they are no progress and don't begin a response.
        if (from.has_event) {
            unsent_events().append(event.bytes);
        }
        else {
            from.buffered_body.append(event.bytes);
        }
        return;
    }
    end_silent_attempt("replaced after its silence", now);
    note_progress(now);
    note_answer_progress(now);
    from.has_event = true;
    note_tokens(*m_attempt, now);
    m_last_event_at = now;
    m_wait_logged = false;
    if (!m_response_begun) {
        m_response_begun_at = now;
        m_core.pool.on_begun(m_attempt->target, m_attempt->unread_tokens, now);
        m_attempt->unread_tokens = 0;
        if (m_attempt->place) {
            const auto took =
                std::chrono::duration_cast<base::milliseconds>(now - m_attempt->sent_at);
            m_core.placements->report_started(*m_attempt->place, took, now);
        }
        note_stream_version(now);
        begin_response(m_attempt->head, std::nullopt);
        m_history.has_begun = true;
    }
    unsent_events().append(std::exchange(m_attempt->buffered_body, {}));
    unsent_events().append(event.bytes);
    m_history.can_continue = !event.id.empty() && m_version.has_value();
    if (!event.id.empty()) {
        m_last_event_id = event.id;
    }
}

void exchange::note_tokens(attempt& from, base::time_point now)
{
    const auto previous = std::exchange(from.last_event_at, now);
    const auto tokens = m_resolved.service->tokens_per_event;
    if (previous && tokens > 0 && !from.target.empty() && !m_reading_paused) {
        m_core.placements->note_tokens(
            base::id_of<base::target_id>(from.target.text()), tokens,
            std::chrono::duration_cast<std::chrono::microseconds>(now - *previous));
    }
}

void exchange::send_events()
{
    auto& events = unsent_events();
    if (m_caller != nullptr) {
        m_caller->send_body(events);
    }
    events.clear();
}

void exchange::begin_response(const message_head& head, std::optional<std::uint64_t> length)
{
    auto fields = head.fields;
    remove_hop_by_hop_fields(fields);
    remove_fields(fields, outcome_field);
    write_version(fields);
    m_response_begun = true;
    m_begun_status = head.status;
    note_begun(head.status);
    m_begun_media_type = media_type(head.fields);
    if (!is_stream()) {
        drop_request_body();
    }
    m_caller->begin_response(head.status, head.reason, fields, length);
}

void exchange::flush_buffered(base::time_point now)
{
    end_silent_attempt("replaced after its silence", now);
    if (!m_response_begun) {
        m_response_begun_at = now;
        m_history.has_begun = true;
        begin_response(m_attempt->head, m_attempt->head.content_length);
    }
    m_caller->send_body(std::exchange(m_attempt->buffered_body, {}));
}

void exchange::on_response_end(std::uint32_t number)
{
    const auto now = base::boot_now();
    if (is_silent_attempt(number)) {
        if (m_silent_attempt->head.status >= first_error_status ||
            !is_complete(*m_silent_attempt)) {
            note_broken_answer(*m_silent_attempt, now);
            end_silent_attempt("the silent target failed", now);
            return;
        }
        resume_silent_attempt(now);
    }
    if (is_stream() && m_attempt->events.has_partial()) {
        note_broken_answer(*m_attempt, now);
        end_attempt(attempt_end::unknown, target_outcome::broken,
                    "the stream ended within an event", now);
        return;
    }
    if (!is_complete(*m_attempt)) {
        end_attempt(attempt_end::unknown, target_outcome::broken,
                    "the connection was closed before the body", now);
        return;
    }
    const bool failed = m_attempt->head.status >= first_server_error_status;
    if (failed && !m_response_begun) {
        end_attempt(attempt_end::failed, target_outcome::server_error, "the target failed", now);
        return;
    }
    pass_buffered_response(now);
}

void exchange::pass_buffered_response(base::time_point now)
{
    end_silent_attempt("replaced after its silence", now);
    const auto status = m_attempt->head.status;
    const auto took = std::chrono::duration_cast<base::milliseconds>(now - m_attempt->sent_at);
    note_answer_end(now);
    if (status < first_server_error_status) {
        m_core.pool.on_outcome(m_attempt->target, target_outcome::answered, took, now);
        m_attempt->outcome = target_outcome::answered;
    }
    if (!m_response_begun) {
        m_response_begun_at = now;
        begin_response(m_attempt->head, m_attempt->buffered_body.size());
    }
    m_caller->send_body(m_attempt->buffered_body);
    auto* caller = std::exchange(m_caller, nullptr);
    finish("answered", status, {}, now);
    caller->end_response();
}

void exchange::on_failure(std::uint32_t number, const upstream_failure& failure)
{
    const auto now = base::boot_now();
    if (is_silent_attempt(number)) {
        note_broken_answer(*m_silent_attempt, now);
        m_core.connections.close_idle(m_silent_attempt->address);
        end_silent_attempt(failure.detail, now);
        return;
    }
    if (failure.may_have_arrived) {
        note_broken_answer(*m_attempt, now);
        m_core.connections.close_idle(m_attempt->address);
    }
    end_attempt(failure.may_have_arrived ? attempt_end::unknown : attempt_end::not_sent,
                failure.may_have_arrived ? target_outcome::broken : target_outcome::unreachable,
                failure.detail, now);
}

} // namespace chicorylink::front
