#include "chicorylink/base/ids.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/load_field.hpp"
#include "chicorylink/front/plain_number.hpp"
#include "chicorylink/front/retry_after.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>

// The part of `exchange` that reads what a target's response says about the target itself.

namespace chicorylink::front {
namespace {

/// Bytes of a header value that are logged.
constexpr std::size_t max_logged_bytes = 64;

/// Larger statements about a target's times are passed on as this.
constexpr double max_stated_percent = 10'000;

} // namespace

void exchange::read_load(const message_head& head, base::time_point now)
{
    const auto* text = find_field(head.fields, m_core.protocol.names.load);
    if (text == nullptr || m_attempt->target.empty()) {
        return;
    }
    const auto load = parse_load_field(*text);
    if (!load) {
        return;
    }
    m_core.pool.on_load(m_attempt->target, load->running, load->waiting, now);
    // A misdirected request was answered by another target than the one it was sent to.
    if (load->time_percent && head.status != misdirected_status) {
        note_stated_time(*load->time_percent, now);
    }
}

void exchange::note_stated_time(double percent, base::time_point now)
{
    const auto* target = m_core.pool.find(m_attempt->target);
    if (target == nullptr) {
        return;
    }
    fleet::target_pace statement;
    statement.target = target->id;
    statement.started_ms = target->entry.started_ms;
    // The bounds in force are narrower; these keep a number within its field of the message.
    statement.percent = static_cast<std::uint16_t>(std::clamp(percent, 1.0, max_stated_percent));
    if (m_core.pool.on_time_stated(statement, now)) {
        m_core.placements->queue_statement(statement, now);
    }
}

void exchange::read_notices(const message_head& head, base::time_point now)
{
    const auto* target = m_core.pool.find(m_attempt->target);
    if (target == nullptr) {
        return;
    }
    fleet::target_notice notice{target->id, target->pushback.started_ms, false, {}};
    const auto* leaving = find_field(head.fields, m_core.protocol.names.leaving);
    if (leaving != nullptr && *leaving == "1") {
        notice.leaving = m_core.pool.on_leaving(m_attempt->target, now);
    }
    const auto* retry_after = find_field(head.fields, retry_after_field);
    if (retry_after != nullptr && head.status == unavailable_status) {
        const auto wait = parse_retry_after(*retry_after);
        notice.wait = wait.value_or(base::milliseconds{0});
        write_log(m_core,
                  log_event(m_core, wait ? "target_pushes_back" : "retry_after_ignored")
                      .add("request", m_request.id)
                      .add("target", m_attempt->target.text())
                      .add("told", std::string_view{*retry_after}.substr(0, max_logged_bytes)));
    }
    if (notice.wait.count() > 0) {
        m_core.pool.on_wait_requested(m_attempt->target, notice.wait,
                                      base::hash_name(m_core.settings.self.ip), now);
    }
    if (notice.leaving) {
        write_log(m_core, log_event(m_core, "target_leaving")
                              .add("request", m_request.id)
                              .add("target", m_attempt->target.text())
                              .add("told_by", "answer"));
    }
    if (notice.leaving || notice.wait.count() > 0) {
        m_core.placements->queue_notice(notice, now);
    }
}

void exchange::read_limit(const message_head& head, base::time_point now)
{
    // A misdirected request was answered by another target than the one it was sent to.
    if (m_attempt->target.empty() || head.status == misdirected_status) {
        return;
    }
    const auto* text = find_field(head.fields, m_core.protocol.names.rate_limit);
    const auto per_second = text == nullptr ? std::nullopt : parse_plain_number(*text);
    if (text != nullptr && !per_second) {
        write_log(m_core, log_event(m_core, "target_limit_ignored")
                              .add("request", m_request.id)
                              .add("target", m_attempt->target.text())
                              .add("told", std::string_view{*text}.substr(0, max_logged_bytes)));
        return;
    }
    // Rejections and failures may lack the field; only a served response shows that a limit ended.
    const bool is_served = head.status < first_error_status && is_target_response(head);
    if (!per_second && !is_served) {
        return;
    }
    const auto update = m_core.pool.on_limit_stated(
        m_attempt->target, {per_second, per_second ? now : m_attempt->sent_at}, now);
    if (update.is_new) {
        log_limit_change(m_core, *m_core.pool.find(m_attempt->target), m_request.id, "answer", now);
    }
    if (update.report) {
        m_core.placements->queue_limit(*update.report, now);
    }
}

void exchange::log_unknown_fields(const message_head& head)
{
    if (m_attempt->target.empty()) {
        return;
    }
    for (const auto& field : head.fields) {
        if (m_core.target_fields.is_new(field.name)) {
            write_log(m_core,
                      log_event(m_core, "target_field_unknown")
                          .add("request", m_request.id)
                          .add("target", m_attempt->target.text())
                          .add("field", std::string_view{field.name}.substr(0, max_logged_bytes)));
        }
    }
}

} // namespace chicorylink::front
