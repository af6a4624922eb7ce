#include "chicorylink/front/exchange.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/front/caller_connection.hpp"
#include "chicorylink/front/forward_fields.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/request_fingerprint.hpp"
#include "chicorylink/front/request_memory.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

using fleet::attempt_end;
using fleet::next_step;
using fleet::target_outcome;

/// Deadline until the route is known; longer than any step before that takes.
constexpr base::milliseconds initial_timeout{2000};

std::size_t bytes_of(const incoming_request& request)
{
    auto bytes = request.head.target.size() + request.body.size();
    for (const auto& field : request.head.fields) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

} // namespace

exchange::exchange(front_core& core, caller_connection& caller, incoming_request request)
    : m_core(core), m_caller(&caller), m_request(std::move(request)),
      m_held_request(core.request_bytes)
{
    m_held_request.set(bytes_of(m_request));
    m_history.from_peer = m_request.from_peer();
    m_core.exchanges.insert(this);
}

exchange::~exchange()
{
    m_core.exchanges.erase(this);
}

bool exchange::is_stream() const
{
    return m_resolved.route->kind == fleet::request_kind::stream;
}

base::milliseconds exchange::time_left(base::time_point now) const
{
    return std::chrono::duration_cast<base::milliseconds>(m_deadline - now);
}

base::milliseconds exchange::retry_delay(base::milliseconds wait, fleet::retry_jitter spread) const
{
    return fleet::retry_after_delay(wait, spread, base::hash_name(m_request.id));
}

std::optional<base::milliseconds> exchange::wait_for_targets(base::time_point now)
{
    if (!fleet::may_run_in(*m_resolved.route, m_resolved.team, m_core.settings.self.region)) {
        return std::nullopt;
    }
    const auto& service = m_resolved.service->name;
    const auto wait = m_core.pool.shortest_wait(service, now);
    const double rate = m_core.pool.limited_rate(service, now);
    if (!wait || rate <= 0) {
        return wait;
    }
    const auto vm_count = static_cast<double>(m_core.members.region_ips(now).size());
    return m_core.returns.next(service, rate / vm_count, time_left(now), now);
}

void exchange::begin(base::time_point now)
{
    m_deadline = now + initial_timeout;
    if (!accepts_new_requests(m_core, now)) {
        refuse({unavailable_status, "leaving",
                retry_delay(delay_until_served_elsewhere(m_core, now), fleet::retry_jitter::queue)},
               now);
        return;
    }
    if (m_request.is_beyond_places) {
        refuse({unavailable_status, "too_many_connections",
                retry_delay(fleet::not_ready_retry_after, fleet::retry_jitter::queue)},
               now);
        return;
    }
    if (const auto refused = resolve_request(now)) {
        refuse(*refused, now);
        return;
    }
    const auto& names = m_core.protocol.names;
    const auto timeout = m_resolved.route->timeout;
    m_deadline =
        now + std::min(timeout, requested_timeout(m_request.head, names).value_or(timeout));
    m_prompt = prompt_of(m_request.head, names);
    m_fingerprint = request_fingerprint(m_request, m_resolved.team, m_prompt);
    note_crash_subjects(now);
    m_is_caller_retry = m_core.caller_retries.is_retry(
        m_resolved.route->name, requested_timeout(m_request.head, names).value_or(timeout));
    if (!m_request.from_peer()) {
        m_core.retries.note_request(m_resolved.service->name, now);
    }
    if (const auto refused = check_quota(now)) {
        refuse(*refused, now);
        return;
    }
    if (!find_stream_version(now)) {
        dispatch(now);
    }
}

upstream_call* exchange::running_call() const
{
    return !m_attempt || m_attempt->ended ? nullptr : m_attempt->call.get();
}

void exchange::drop_request_body()
{
    m_request.body = {};
    m_held_request.set(bytes_of(m_request));
}

void exchange::release(attempt& ended, base::time_point now)
{
    if (ended.target.empty() || std::exchange(ended.released, true)) {
        return;
    }
    m_core.pool.on_ended(ended.target, ended.unread_tokens);
    ended.unread_tokens = 0;
    if (ended.place) {
        const auto took = std::chrono::duration_cast<base::milliseconds>(now - ended.sent_at);
        m_core.placements->report_ended(*ended.place, ended.outcome, took, now);
    }
}

void exchange::report_outcome(attempt& ended, target_outcome outcome, std::string_view detail,
                              base::time_point now)
{
    const auto took = std::chrono::duration_cast<base::milliseconds>(now - ended.sent_at);
    if (!ended.target.empty() && m_core.pool.on_outcome(ended.target, outcome, took, now)) {
        write_log(m_core, log_event(m_core, "target_ejected")
                              .add("target", ended.target.text())
                              .add("reason", detail));
    }
    ended.outcome = outcome;
}

void exchange::end_attempt(attempt_end end, target_outcome outcome, std::string_view detail,
                           base::time_point now)
{
    const auto keep_alive = shared_from_this();
    m_attempt->ended = true;
    report_outcome(*m_attempt, outcome, detail, now);
    static constexpr std::array<std::string_view, 4> results{"not_sent", "rejected", "failed",
                                                             "unknown"};
    log_attempt(*m_attempt, results.at(static_cast<std::size_t>(end)), detail, now);
    release(*m_attempt, now);
    m_last_end = end;
    if (end != attempt_end::not_sent) {
        ++m_history.arrivals;
    }
    if (end == attempt_end::failed || end == attempt_end::unknown) {
        ++m_history.runs;
    }
    auto step = fleet::decide_next(*m_resolved.route, m_history, end, time_left(now));
    if (step == next_step::send_again && m_history.arrivals > 0 && !take_retry(now)) {
        if (await_target("no retry budget", now)) {
            m_is_retry_due = true;
            return;
        }
        step = fleet::give_up(m_history, end);
    }
    execute(step, detail, now);
}

bool exchange::take_retry(base::time_point now)
{
    const auto& service = m_resolved.service->name;
    const auto sharers = m_core.members.sharers();
    const bool is_granted = m_core.retries.take(service, sharers, now);
    if (!is_granted) {
        m_core.counters.add("retries_denied_total");
    }
    const auto used = m_core.retries.usage(service, sharers, now);
    write_log(m_core, log_event(m_core, is_granted ? "retry_granted" : "retry_denied")
                          .add("request", m_request.id)
                          .add("service", service.text())
                          .add("requests", std::uint64_t{used.requests})
                          .add("retries", std::uint64_t{used.retries})
                          .add("allowed", used.allowed)
                          .add("vms", std::uint64_t{sharers.vms})
                          .add("all_regions", sharers.all_regions)
                          .add("up_ms", m_core.retries.uptime(now).count()));
    return is_granted;
}

void exchange::execute(next_step step, std::string_view detail, base::time_point now)
{
    if (m_silent_attempt && step != next_step::send_again) {
        resume_silent_attempt(now);
        return;
    }
    switch (step) {
    case next_step::send_again:
        if (const auto refused = resolve_request(now)) {
            wait_or_refuse(*refused, now);
            return;
        }
        m_core.counters.add("retries_total");
        dispatch(now);
        return;
    case next_step::pass_response:
        pass_buffered_response(now);
        return;
    case next_step::refuse:
        refuse({unavailable_status, "targets_rejected", retry_delay_after_rejection(now)}, now);
        return;
    case next_step::fail:
        refuse({bad_gateway_status, detail, std::nullopt}, now);
        return;
    case next_step::abort_stream:
        if (auto* caller = std::exchange(m_caller, nullptr)) {
            finish("cut", 0, detail, now);
            caller->abort_response();
        }
        return;
    }
}

void exchange::refuse(const refusal& cause, base::time_point now)
{
    if (m_caller != nullptr && m_silent_attempt) {
        resume_silent_attempt(now);
        return;
    }
    auto* caller = std::exchange(m_caller, nullptr);
    if (caller == nullptr) {
        return;
    }
    if (m_response_begun) {
        finish("cut", 0, cause.reason, now);
        caller->abort_response();
        return;
    }
    auto reply = cause;
    // A refusal guarantees that the request did not run and never will.
    if (m_history.runs > 0 && cause.status != gateway_timeout_status) {
        reply.status = bad_gateway_status;
        reply.retry_after = std::nullopt;
    }
    const bool ran = m_history.runs > 0;
    refund_quota(now);
    finish(ran ? "failed" : "refused", reply.status, reply.reason, now);
    caller->refuse(reply, ran ? outcome_unknown : outcome_not_run);
}

void exchange::on_caller_disconnected(base::time_point now)
{
    m_caller = nullptr;
    (void)cancel_attempts(now);
    if (!m_is_finished) {
        finish("caller_left", 0, {}, now);
    }
}

void exchange::on_caller_drained()
{
    if (std::exchange(m_reading_paused, false) && m_attempt && m_attempt->call) {
        m_attempt->last_progress = base::boot_now();
        m_attempt->call->resume_reading();
    }
}

void exchange::tick(base::time_point now)
{
    if (m_is_finished || m_caller == nullptr) {
        return;
    }
    const auto keep_alive = shared_from_this();
    if (now >= m_deadline) {
        if (running_call() != nullptr) {
            log_attempt(*m_attempt, "unknown", "deadline", now);
        }
        m_history.runs += cancel_attempts(now) ? 1 : 0;
        const auto status = m_history.runs > 0 ? gateway_timeout_status : unavailable_status;
        refuse({status, "deadline", std::nullopt}, now);
        return;
    }
    if (m_search_at && now >= *m_search_at) {
        search_again(now);
    }
    else if (is_silent(now)) {
        on_silence(now);
    }
}

void exchange::on_stop(base::time_point now)
{
    m_history.runs += cancel_attempts(now) ? 1 : 0;
    refuse({unavailable_status, "stopping", fleet::min_retry_after}, now);
}

void exchange::log_attempt(const attempt& ended, std::string_view result, std::string_view detail,
                           base::time_point now) const
{
    const auto took = std::chrono::duration_cast<base::milliseconds>(now - ended.sent_at);
    write_log(m_core, log_event(m_core, "attempt_ended")
                          .add("request", m_request.id)
                          .add("fingerprint", fmt::format("{:016x}", m_fingerprint))
                          .add("result", result)
                          .add("detail", detail)
                          .add("target", ended.target.text())
                          .add("address", ended.address)
                          .add("status", ended.head.status)
                          .add("expected_wait_ms", ended.expected_wait.count())
                          .add("took_ms", took.count())
                          .add("left_ms", time_left(now).count()));
}

void exchange::finish(std::string_view outcome, int status, std::string_view reason,
                      base::time_point now)
{
    if (std::exchange(m_is_finished, true)) {
        return;
    }
    if (m_attempt && (outcome == "answered" || outcome == "cut")) {
        release(*m_attempt, now);
    }
    m_core.exchanges.erase(this);
    drop_request_body();
    const auto ms_since = [&](base::time_point then) {
        return std::chrono::duration_cast<base::milliseconds>(then - m_request.arrived_at).count();
    };
    auto line = log_event(m_core, "request");
    line.add("request", m_request.id).add("from", m_request.from_peer() ? "peer" : "caller");
    line.add("outcome", outcome).add("status", status).add("reason", reason);
    if (m_resolved.route != nullptr) {
        const auto confirmed = m_core.state.confirmed_at();
        line.add("route", m_resolved.route->name.text());
        line.add("service", m_resolved.service == nullptr ? std::string_view{}
                                                          : m_resolved.service->name.text());
        line.add("team",
                 m_resolved.team == nullptr ? std::string_view{} : m_resolved.team->name.text());
        line.add("version", m_resolved.config->version().value());
        line.add("confirmed_ms_ago",
                 confirmed
                     ? std::chrono::duration_cast<base::milliseconds>(now - *confirmed).count()
                     : -1);
    }
    if (m_attempt) {
        line.add("target", m_attempt->target.text()).add("region", m_attempt->region.text());
        line.add("address", m_attempt->address);
        line.add("expected_wait_ms", m_attempt->expected_wait.count());
        line.add("placed_by", m_placed_by);
        if (is_stream() && m_attempt->version) {
            line.add("software_version",
                     m_core.stream_origins.text_of(m_resolved.service->name, *m_attempt->version));
        }
        if (m_prompt) {
            line.add("prompt_tokens", m_prompt->prompt_tokens);
            line.add("unread_tokens", m_attempt->unread_at_send);
            line.add("prefix_holder", m_attempt->prefix_holder.text());
        }
    }
    if (m_expected_end) {
        line.add("expected_end_ms", m_expected_end->count());
        line.add("expected_output_tokens", m_prompt->output_tokens);
    }
    log_return(line, now);
    log_quota(line, status, now);
    line.add("attempts", m_history.sends).add("total_ms", ms_since(now));
    if (m_response_begun) {
        line.add("first_ms", ms_since(m_response_begun_at));
        m_core.counters.observe("first_answer_ms",
                                static_cast<double>(ms_since(m_response_begun_at)));
    }
    write_log(m_core, line);
    m_core.counters.add(fmt::format("requests_total{{outcome=\"{}\"}}", outcome));
    if (m_is_caller_retry && !m_request.from_peer()) {
        m_core.counters.add(fmt::format("caller_returns_total{{outcome=\"{}\"}}", outcome));
    }
    m_core.counters.observe("request_ms", static_cast<double>(ms_since(now)));
}

} // namespace chicorylink::front
