#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/status_codes.hpp"

// The part of `exchange` that refuses requests that crash targets, and reports what was in a
// request whose target may have crashed.

namespace chicorylink::front {
namespace {

/// A target that crashes on a request does so soon after it begins to write the answer; an answer
/// that goes on for this long has survived.
constexpr base::milliseconds survival_time{1000};

} // namespace

std::vector<fleet::crash_subject> exchange::crash_subjects() const
{
    std::vector<fleet::crash_subject> subjects{
        {m_fingerprint, fleet::crash_subject_kind::whole_request}};
    if (m_prompt) {
        for (const auto part : fleet::shared_part_ids(*m_prompt)) {
            subjects.push_back({part.value(), fleet::crash_subject_kind::prompt_part});
        }
    }
    return subjects;
}

void exchange::note_crash_subjects(base::time_point now)
{
    m_core.quarantine.note_request(crash_subjects(), now);
}

bool exchange::refuse_quarantined(base::time_point now)
{
    const auto quarantined = m_core.quarantine.find(crash_subjects(), now);
    if (!quarantined) {
        return false;
    }
    const std::string_view reason = quarantined->kind == fleet::crash_subject_kind::whole_request
                                        ? "request_quarantined"
                                        : "prompt_part_quarantined";
    m_core.counters.add("quarantined_requests_total");
    if (m_history.runs > 0 && m_last_end == fleet::attempt_end::failed) {
        execute(fleet::give_up(m_history, m_last_end), reason, now);
    }
    else {
        refuse({unavailable_status, reason, quarantined->left}, now);
    }
    return true;
}

bool exchange::is_watched_for_crashes(const attempt& watched) const
{
    return !watched.target.empty() && !watched.has_survived;
}

void exchange::note_target_run()
{
    if (const auto* target = m_core.pool.find(m_attempt->target)) {
        m_attempt->run = {target->id, target->entry.started_ms};
    }
}

void exchange::note_answer_progress(base::time_point now)
{
    if (!is_watched_for_crashes(*m_attempt) || m_attempt->head.status >= first_error_status) {
        return;
    }
    if (!m_attempt->begun_at) {
        m_attempt->begun_at = now;
    }
    if (now - *m_attempt->begun_at >= survival_time) {
        note_survival(now);
    }
}

void exchange::note_survival(base::time_point now)
{
    m_attempt->has_survived = true;
    m_core.quarantine.note_survival(crash_subjects(), m_attempt->begun_at.value_or(now), now);
}

void exchange::note_answer_end(base::time_point now)
{
    if (!is_watched_for_crashes(*m_attempt) || m_attempt->head.status >= first_error_status) {
        return;
    }
    const bool is_framed = m_attempt->head.chunked || m_attempt->head.content_length;
    if (!is_framed) {
        // The end of the connection may be that of the target.
        m_core.quarantine.note_unconfirmed_end(crash_subjects(), m_attempt->run, now);
    }
    else if (m_attempt->begun_at || !is_stream()) {
        note_survival(now);
    }
}

void exchange::note_broken_answer(const attempt& broken, base::time_point now)
{
    if (!is_watched_for_crashes(broken)) {
        return;
    }
    m_core.counters.add("prompt_part_crashes_total");
    m_core.quarantine.note_crash(crash_subjects(), broken.run, now);
    update_quarantine(m_core, now);
}

} // namespace chicorylink::front
