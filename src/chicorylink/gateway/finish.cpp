#include "chicorylink/gateway/finish.hpp"

#include "chicorylink/base/metrics.hpp"
#include "chicorylink/dispatch/ticket_rules.hpp"
#include "chicorylink/gateway/budget_gate.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/gateway/team_stats.hpp"
#include "chicorylink/gateway/ticket_desk.hpp"
#include "chicorylink/gateway/work_table.hpp"
#include "chicorylink/platform/http_client.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <utility>

#include <fmt/format.h>

namespace chicorylink::gateway {
namespace {

/// What a request's end needs of its state, copied under its lock.
struct ending {
    bool first = false;
    bool stream_begun = false;
    work_phase phase = work_phase::done;
    run_outcome outcome = run_outcome::not_run;
    std::optional<dispatch::ticket> ticket;
    dispatch::attempt_id holder;
    std::optional<platform::transfer_id> transfer;
    std::optional<wire::stream_id> forward;
    std::uint64_t reservation = 0;
    base::tokens spent;
};

/// The tokens that a request counts: what the target reports, or else the bound of its prompt and
/// the tokens that were passed on; nothing when it did not run.
base::tokens spent_tokens(const work& entry)
{
    if (outcome_so_far(entry) == run_outcome::not_run) {
        return base::tokens{0};
    }
    if (entry.reported_usage.value() > 0) {
        return entry.reported_usage;
    }
    return entry.prompt_bound + entry.counted_answer;
}

/// Marks a request as answered. Only the first call for it returns `first`.
ending begin_ending(work& entry)
{
    const std::lock_guard lock(entry.mutex);
    ending state;
    state.first = entry.phase != work_phase::done;
    state.stream_begun = entry.phase == work_phase::answering;
    state.phase = std::exchange(entry.phase, work_phase::done);
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

void settle_and_forget(services& all, const work_ptr& entry, const ending& state)
{
    if (state.reservation != 0) {
        all.budget->settle(state.reservation, state.spent);
    }
    all.works->remove(entry->id);
    const std::chrono::duration<double> age = all.now() - entry->arrived;
    all.metrics->observe("chicorylink_request_seconds", age.count());
}

/// What may be said of the effect of a refused request.
run_outcome stated_outcome(const work& entry, const ending& state, const refusal& why)
{
    if (state.outcome != run_outcome::not_run) {
        return state.outcome;
    }
    if (why.outcome != run_outcome::not_run || state.ticket || entry.ticket.empty()) {
        return why.outcome;
    }
    // An earlier try with the same ticket may have run at its executor, which was not asked now.
    return dispatch::outcome_of_entry_refusal(true, entry.is_first_try);
}

/// Tells the ticket that this VM holds for the request what became of it.
void end_ticket(services& all, const ending& state, run_outcome outcome, const http_answer* answer)
{
    if (state.ticket) {
        all.tickets->end(*state.ticket, state.holder, outcome, answer);
    }
}

void count_end(services& all, std::string_view result)
{
    all.metrics->add(fmt::format("chicorylink_requests_total{{result=\"{}\"}}", result));
}

/// Takes a request out of the router's queue, or gives back the slot that it was just given.
void leave_queue(services& all, const work& entry)
{
    if (all.router->cancel(entry.id, entry.route.id)) {
        return;
    }
    apply_decisions(all, all.router->on_attempt_finished({entry.id, entry.route.id,
                                                          routing::attempt_outcome::cancelled,
                                                          base::nanoseconds{0}},
                                                         all.now()));
}

/// Ends the attempt that still runs, if any, without waiting for its answer.
void abandon_attempt(services& all, const work_ptr& entry, const ending& state)
{
    if (state.transfer) {
        all.http->cancel(*state.transfer);
    }
    if (state.forward) {
        all.network->reset(*state.forward, wire::reset_reason::cancelled);
    }
    if (state.phase == work_phase::queued) {
        leave_queue(all, *entry);
    }
    if (state.phase == work_phase::reserving) {
        all.budget->cancel(entry);
    }
}

/// Whether the request runs on a ticket: then it goes on without its caller, so that a repeat gets
/// its answer.
bool holds_ticket(work& entry)
{
    const std::lock_guard lock(entry.mutex);
    return entry.held_ticket.has_value();
}

} // namespace

void count_refusal(services& all, refusal_kind kind)
{
    all.metrics->add(fmt::format("chicorylink_refusals_total{{kind=\"{}\"}}", to_string(kind)));
}

void finish_whole(services& all, const work_ptr& entry, http_answer answer, run_outcome outcome)
{
    const auto state = begin_ending(*entry);
    if (!state.first) {
        return;
    }
    settle_and_forget(all, entry, state);
    if (state.stream_begun) {
        entry->sink.break_off();
        count_end(all, "broken");
        return;
    }
    count_end(all, "answered");
    end_ticket(all, state, outcome, &answer);
    all.teams->add_answered(entry->team, all.now() - entry->arrived, state.spent);
    entry->sink.whole(std::move(answer), outcome);
}

void finish_refused(services& all, const work_ptr& entry, refusal why)
{
    const auto state = begin_ending(*entry);
    if (!state.first) {
        return;
    }
    abandon_attempt(all, entry, state);
    settle_and_forget(all, entry, state);
    count_refusal(all, why.kind);
    all.teams->add_refused(entry->team, why.kind == refusal_kind::rate_exceeded);
    if (state.stream_begun) {
        entry->sink.append("event: error\ndata: " + body_of(why) + "\n\n");
        entry->sink.break_off();
        count_end(all, "broken");
        return;
    }
    why.outcome = stated_outcome(*entry, state, why);
    end_ticket(all, state, why.outcome, nullptr);
    count_end(all, "refused");
    const auto outcome = why.outcome;
    entry->sink.whole(answer_of(why), outcome);
}

void finish_stream(services& all, const work_ptr& entry)
{
    const auto state = begin_ending(*entry);
    if (!state.first) {
        return;
    }
    settle_and_forget(all, entry, state);
    count_end(all, "streamed");
    all.teams->add_answered(entry->team, all.now() - entry->arrived, state.spent);
    entry->sink.finish();
}

void break_off(services& all, const work_ptr& entry)
{
    const auto state = begin_ending(*entry);
    if (!state.first) {
        return;
    }
    abandon_attempt(all, entry, state);
    settle_and_forget(all, entry, state);
    count_end(all, "broken");
    end_ticket(all, state, state.outcome, nullptr);
    all.teams->add_broken(entry->team, state.spent);
    entry->sink.break_off();
}

void cancel(services& all, const work_ptr& entry)
{
    if (holds_ticket(*entry)) {
        return;
    }
    const auto state = begin_ending(*entry);
    if (!state.first) {
        return;
    }
    abandon_attempt(all, entry, state);
    settle_and_forget(all, entry, state);
    count_end(all, "cancelled");
    entry->sink.break_off();
}

} // namespace chicorylink::gateway
