#include "chicorylink/base/log.hpp"
#include "chicorylink/gateway/budget_gate.hpp"
#include "chicorylink/gateway/chat_request.hpp"
#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/loop_guard.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/gateway/target_response.hpp"
#include "chicorylink/platform/http_client.hpp"
#include "chicorylink/platform/load_report.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

/// Maximum total duration of a streamed response.
constexpr base::milliseconds max_stream_duration{600'000};

std::string_view priority_name(rules::priority order)
{
    switch (order) {
    case rules::priority::high:
        return "high";
    case rules::priority::normal:
        return "normal";
    case rules::priority::low:
        return "low";
    }
    return "normal";
}

base::milliseconds time_left(const active_request& entry, base::time_point now)
{
    return std::chrono::duration_cast<base::milliseconds>(entry.deadline - now);
}

platform::http_request make_request(const services& deps, const active_request& entry,
                                    const rules::target& target, base::time_point now)
{
    platform::http_request request;
    request.method = entry.content.method;
    request.url = "http://" + target.address + entry.content.path;
    if (!entry.content.query.empty()) {
        request.url += "?" + entry.content.query;
    }
    request.headers = entry.content.headers;
    request.headers.emplace_back("X-Request-Id", entry.correlation_id);
    request.headers.emplace_back("X-Priority", std::string(priority_name(entry.route.order)));
    request.headers.emplace_back(std::string(via_header), deps.config.vm);
    if (entry.progress.next_token > 0) {
        request.headers.emplace_back("X-Resume-From", std::to_string(entry.progress.next_token));
    }
    request.body = entry.content.body;
    request.timeout = entry.stream ? max_stream_duration : time_left(entry, now);
    request.retryable = entry.route.idempotent;
    return request;
}

/// Whether the key was withdrawn after the request was admitted.
bool is_key_withdrawn(const services& deps, const active_request& entry)
{
    const auto book = deps.rulebook();
    return entry.key_digest && book && book->find_key(*entry.key_digest) == nullptr;
}

/// Whether the tokens reserved at this VM may still be spent. Those of a forwarded request are held
/// by the VM that sent it.
bool holds_budget(const services& deps, const active_request& entry)
{
    return entry.reservation == 0 || deps.budget->confirm(entry.reservation);
}

/// Final check before the first byte is sent, on the sending thread.
bool may_send(services& deps, active_request& entry, const dispatch::attempt_id& attempt)
{
    const auto now = deps.now();
    const std::lock_guard lock(entry.mutex);
    if (!is_current(entry, attempt) || is_key_withdrawn(deps, entry) ||
        !holds_budget(deps, entry) || !dispatch::begin_write(entry.current_attempt, now)) {
        return false;
    }
    if (entry.phase != request_phase::responding) {
        entry.phase = request_phase::possibly_sent;
    }
    return true;
}

void report_load(services& deps, base::target_id target, const header_list& headers)
{
    const auto report = platform::parse_load_header(find_header(headers, "x-load"));
    if (!report) {
        return;
    }
    const routing::load_report load{report->running, report->waiting, report->slots, false,
                                    base::milliseconds{0}};
    apply_decisions(deps, deps.router->on_target_report(target, load, deps.now()));
}

void on_head(services& deps, const active_request_ptr& entry, const dispatch::attempt_id& attempt,
             int status, const header_list& headers)
{
    base::target_id target;
    {
        const std::lock_guard lock(entry->mutex);
        if (!is_current(*entry, attempt)) {
            return;
        }
        take_head(*entry, status, headers);
        target = entry->target;
    }
    report_load(deps, target, headers);
}

bool on_data(services& deps, const active_request_ptr& entry, const dispatch::attempt_id& attempt,
             std::string_view piece)
{
    bool first_token = false;
    bool too_large = false;
    {
        const std::lock_guard lock(entry->mutex);
        if (!is_current(*entry, attempt)) {
            return true;
        }
        if (entry->paused) {
            return false;
        }
        entry->last_progress = deps.now();
        const bool begun = entry->progress.next_token > 0;
        too_large = !take_piece(*entry, piece, deps.config.max_answer_bytes);
        first_token = !begun && entry->progress.next_token > 0;
    }
    if (first_token) {
        const auto now = deps.now();
        deps.router->on_first_token(entry->id, entry->route.id, now - entry->attempt_started, now);
    }
    if (too_large) {
        finish_refused(deps, entry,
                       {refusal_kind::target_failed, "the target's answer is too large",
                        "ask for less, or raise --max-answer-bytes", run_outcome::unknown});
    }
    return true;
}

routing::attempt_outcome outcome_for_router(const platform::http_end& end, int status,
                                            bool response_is_complete)
{
    constexpr int first_server_error = 500;
    constexpr int service_unavailable = 503;
    if (end.kind == platform::http_end_kind::cancelled) {
        return routing::attempt_outcome::cancelled;
    }
    if (end.kind == platform::http_end_kind::timed_out) {
        return routing::attempt_outcome::timed_out;
    }
    if (status == service_unavailable) {
        return routing::attempt_outcome::declined;
    }
    const bool failed = end.kind != platform::http_end_kind::complete || !response_is_complete ||
                        status >= first_server_error;
    return failed ? routing::attempt_outcome::failed : routing::attempt_outcome::succeeded;
}

refusal failure_of(const platform::http_end& end)
{
    refusal rejection{refusal_kind::target_failed, "the target failed: " + end.detail,
                      "repeat the request if it may run twice", run_outcome::unknown};
    if (!end.possibly_sent) {
        rejection.outcome = run_outcome::not_run;
        rejection.remedy = "repeat the request";
    }
    if (end.kind == platform::http_end_kind::timed_out) {
        rejection.kind = refusal_kind::deadline_exceeded;
        rejection.message = "the target did not answer in time";
    }
    return rejection;
}

void on_end(services& deps, const active_request_ptr& entry, const dispatch::attempt_id& attempt,
            const platform::http_end& end)
{
    const auto now = deps.now();
    response_verdict verdict;
    routing::finished_attempt finished{entry->id, entry->route.id};
    bool current = false;
    {
        const std::lock_guard lock(entry->mutex);
        verdict = evaluate_response(*entry, end);
        current = is_current(*entry, attempt);
        if (current) {
            dispatch::apply(entry->current_attempt, verdict.is_complete
                                                        ? dispatch::attempt_event::response_complete
                                                        : dispatch::attempt_event::lost);
        }
        finished.outcome = outcome_for_router(end, entry->status, verdict.is_complete);
        finished.latency = now - entry->attempt_started;
        if (current) {
            entry->transfer.reset();
        }
    }
    if (!current) {
        finished.outcome = routing::attempt_outcome::cancelled;
    }
    apply_decisions(deps, deps.router->on_attempt_finished(finished, now));
    if (!current) {
        return;
    }
    if (verdict.pass_on && entry->response_is_stream) {
        finish_stream(deps, entry);
        return;
    }
    if (verdict.pass_on) {
        finish_response(deps, entry, std::move(verdict.response), verdict.outcome);
        return;
    }
    base::log(base::log_level::warning, "attempt_failed",
              {{"request", entry->correlation_id},
               {"kind", to_string(end.kind)},
               {"status", entry->status},
               {"crossed", entry->mismatched},
               {"detail", end.detail}});
    retry_or_refuse(deps, entry, failure_of(end));
}

platform::http_handlers make_handlers(services& deps, const active_request_ptr& entry,
                                      const dispatch::attempt_id& attempt)
{
    platform::http_handlers handlers;
    handlers.on_sending = [&deps, entry, attempt] { return may_send(deps, *entry, attempt); };
    handlers.on_head = [&deps, entry, attempt](int status, const header_list& headers) {
        on_head(deps, entry, attempt, status, headers);
    };
    handlers.on_data = [&deps, entry, attempt](std::string_view piece) {
        return on_data(deps, entry, attempt, piece);
    };
    handlers.on_end = [&deps, entry, attempt](const platform::http_end& end) {
        on_end(deps, entry, attempt, end);
    };
    return handlers;
}

/// Resumes reading from the target once the receiver of the response has room.
void resume_when_room(services& deps, const active_request_ptr& entry)
{
    const std::weak_ptr<active_request> weak_entry = entry;
    entry->sink.set_on_room([&deps, weak_entry] {
        const auto found = weak_entry.lock();
        if (!found) {
            return;
        }
        std::optional<platform::transfer_id> transfer;
        {
            const std::lock_guard lock(found->mutex);
            found->paused = false;
            transfer = found->transfer;
        }
        if (transfer) {
            deps.http->resume(*transfer);
        }
    });
}

/// Prepares the state for a new attempt; empty when the request is done.
std::optional<dispatch::attempt_id> begin_attempt(const services& deps, active_request& entry,
                                                  base::target_id target, base::time_point now)
{
    const std::lock_guard lock(entry.mutex);
    if (entry.phase == request_phase::done) {
        return std::nullopt;
    }
    reset_response(entry);
    if (entry.phase != request_phase::responding) {
        entry.phase = request_phase::connecting;
    }
    entry.target = target;
    return next_attempt(entry, deps.process.load(), now);
}

void abandon_dispatch(services& deps, const active_request_ptr& entry,
                      routing::attempt_outcome outcome)
{
    apply_decisions(deps,
                    deps.router->on_attempt_finished(
                        {entry->id, entry->route.id, outcome, base::nanoseconds{0}}, deps.now()));
}

} // namespace

void start_target_attempt(services& deps, const active_request_ptr& entry,
                          base::target_id target_id)
{
    const auto now = deps.now();
    const auto book = deps.rulebook();
    const auto* target = book ? book->find(target_id) : nullptr;
    if (target == nullptr || is_own_address(deps, target->address)) {
        abandon_dispatch(deps, entry, routing::attempt_outcome::declined);
        finish_refused(deps, entry,
                       {target == nullptr ? refusal_kind::no_target : refusal_kind::loop_refused,
                        "the target is gone from the rules or is a VM of the system",
                        "correct the target's line in the rules", run_outcome::not_run});
        return;
    }
    const auto attempt = begin_attempt(deps, *entry, target_id, now);
    if (!attempt) {
        abandon_dispatch(deps, entry, routing::attempt_outcome::cancelled);
        return;
    }
    resume_when_room(deps, entry);
    const auto transfer = deps.http->start(make_request(deps, *entry, *target, now),
                                           make_handlers(deps, entry, *attempt));
    const std::lock_guard lock(entry->mutex);
    if (is_current(*entry, *attempt)) {
        entry->transfer = transfer;
    }
    else {
        deps.http->cancel(transfer);
    }
}

} // namespace chicorylink::gateway
