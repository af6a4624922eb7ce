#include "chicorylink/gateway/finish.hpp"

#include "chicorylink/base/metrics.hpp"
#include "chicorylink/dispatch/ticket_rules.hpp"
#include "chicorylink/gateway/budget_gate.hpp"
#include "chicorylink/gateway/request_table.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/gateway/team_stats.hpp"
#include "chicorylink/gateway/ticket_manager.hpp"
#include "chicorylink/platform/http_client.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <utility>

#include <fmt/format.h>

namespace chicorylink::gateway {
namespace {

/// The state needed to end a request, copied under its lock.
struct final_state {
    bool first = false;
    bool stream_begun = false;
    request_phase phase = request_phase::done;
    run_outcome outcome = run_outcome::not_run;
    std::optional<dispatch::ticket> ticket;
    dispatch::attempt_id holder;
    std::optional<platform::transfer_id> transfer;
    std::optional<wire::stream_id> forward;
    std::uint64_t reservation = 0;
    base::tokens spent;
};

/// Tokens to charge for a request: the usage that the target reports, or else the upper bound of
/// its prompt plus the delivered tokens; zero when it did not run.
base::tokens spent_tokens(const active_request& entry)
{
    if (outcome_so_far(entry) == run_outcome::not_run) {
        return base::tokens{0};
    }
    if (entry.reported_usage.value() > 0) {
        return entry.reported_usage;
    }
    return entry.prompt_bound + entry.delivered_tokens;
}

/// Marks a request as done. Only the first call for it returns `first`.
final_state mark_done(active_request& entry)
{
    const std::lock_guard lock(entry.mutex);
    final_state state;
    state.first = entry.phase != request_phase::done;
    state.stream_begun = entry.phase == request_phase::responding;
    state.phase = std::exchange(entry.phase, request_phase::done);
    state.outcome = outcome_so_far(entry);
    state.holder = {entry.ticket_process, entry.id.value()};
    state.ticket = std::exchange(entry.held_ticket, std::nullopt);
    state.transfer = std::exchange(entry.transfer, std::nullopt);
    if (entry.forward) {
        state.forward = entry.forward->stream();
    }
    state.reservation = std::exchange(entry.reservation, 0);
    state.spent = spent_tokens(entry);
    return state;
}

void settle_and_remove(services& deps, const active_request_ptr& entry, const final_state& state)
{
    if (state.reservation != 0) {
        deps.budget->settle(state.reservation, state.spent);
    }
    deps.requests->remove(entry->id);
    const std::chrono::duration<double> age = deps.now() - entry->arrived;
    deps.metrics->observe("chicorylink_request_seconds", age.count());
}

/// The outcome to report for a refused request.
run_outcome reported_outcome(const active_request& entry, const final_state& state,
                             const refusal& rejection)
{
    if (state.outcome != run_outcome::not_run) {
        return state.outcome;
    }
    if (rejection.outcome != run_outcome::not_run || state.ticket || entry.ticket.empty()) {
        return rejection.outcome;
    }
    // An earlier try with the same ticket may have run at its executor, which was not contacted
    // now.
    return dispatch::outcome_of_entry_refusal(true, entry.is_first_try);
}

/// Records the outcome with the ticket that this VM holds for the request.
void end_ticket(services& deps, const final_state& state, run_outcome outcome,
                const http_response* response)
{
    if (state.ticket) {
        deps.tickets->end(*state.ticket, state.holder, outcome, response);
    }
}

void count_end(services& deps, std::string_view result)
{
    deps.metrics->add(fmt::format("chicorylink_requests_total{{result=\"{}\"}}", result));
}

/// Removes a request from the router's queue, or releases the slot that it was just given.
void leave_queue(services& deps, const active_request& entry)
{
    if (deps.router->cancel(entry.id, entry.route.id)) {
        return;
    }
    apply_decisions(deps, deps.router->on_attempt_finished({entry.id, entry.route.id,
                                                            routing::attempt_outcome::cancelled,
                                                            base::nanoseconds{0}},
                                                           deps.now()));
}

/// Cancels the running attempt, if any, without waiting for its response.
void abandon_attempt(services& deps, const active_request_ptr& entry, const final_state& state)
{
    if (state.transfer) {
        deps.http->cancel(*state.transfer);
    }
    if (state.forward) {
        deps.network->reset(*state.forward, wire::reset_reason::cancelled);
    }
    if (state.phase == request_phase::queued) {
        leave_queue(deps, *entry);
    }
    if (state.phase == request_phase::reserving) {
        deps.budget->cancel(entry);
    }
}

/// Whether the request runs with a ticket: it then continues without its caller, so that a repeated
/// request gets its response.
bool holds_ticket(active_request& entry)
{
    const std::lock_guard lock(entry.mutex);
    return entry.held_ticket.has_value();
}

} // namespace

void count_refusal(services& deps, refusal_kind kind)
{
    deps.metrics->add(fmt::format("chicorylink_refusals_total{{kind=\"{}\"}}", to_string(kind)));
}

void finish_response(services& deps, const active_request_ptr& entry, http_response response,
                     run_outcome outcome)
{
    const auto state = mark_done(*entry);
    if (!state.first) {
        return;
    }
    settle_and_remove(deps, entry, state);
    if (state.stream_begun) {
        entry->sink.abort();
        count_end(deps, "broken");
        return;
    }
    count_end(deps, "answered");
    end_ticket(deps, state, outcome, &response);
    deps.teams->add_answered(entry->team, deps.now() - entry->arrived, state.spent);
    entry->sink.respond(std::move(response), outcome);
}

void finish_refused(services& deps, const active_request_ptr& entry, refusal rejection)
{
    const auto state = mark_done(*entry);
    if (!state.first) {
        return;
    }
    abandon_attempt(deps, entry, state);
    settle_and_remove(deps, entry, state);
    count_refusal(deps, rejection.kind);
    deps.teams->add_refused(entry->team, rejection.kind == refusal_kind::rate_exceeded);
    if (state.stream_begun) {
        entry->sink.append("event: error\ndata: " + body_of(rejection) + "\n\n");
        entry->sink.abort();
        count_end(deps, "broken");
        return;
    }
    rejection.outcome = reported_outcome(*entry, state, rejection);
    end_ticket(deps, state, rejection.outcome, nullptr);
    count_end(deps, "refused");
    const auto outcome = rejection.outcome;
    entry->sink.respond(response_of(rejection), outcome);
}

void finish_stream(services& deps, const active_request_ptr& entry)
{
    const auto state = mark_done(*entry);
    if (!state.first) {
        return;
    }
    settle_and_remove(deps, entry, state);
    count_end(deps, "streamed");
    deps.teams->add_answered(entry->team, deps.now() - entry->arrived, state.spent);
    entry->sink.finish();
}

void abort_request(services& deps, const active_request_ptr& entry)
{
    const auto state = mark_done(*entry);
    if (!state.first) {
        return;
    }
    abandon_attempt(deps, entry, state);
    settle_and_remove(deps, entry, state);
    count_end(deps, "broken");
    end_ticket(deps, state, state.outcome, nullptr);
    deps.teams->add_broken(entry->team, state.spent);
    entry->sink.abort();
}

void cancel(services& deps, const active_request_ptr& entry)
{
    if (holds_ticket(*entry)) {
        return;
    }
    const auto state = mark_done(*entry);
    if (!state.first) {
        return;
    }
    abandon_attempt(deps, entry, state);
    settle_and_remove(deps, entry, state);
    count_end(deps, "cancelled");
    entry->sink.abort();
}

} // namespace chicorylink::gateway
