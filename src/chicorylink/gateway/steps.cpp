#include "chicorylink/gateway/steps.hpp"

#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/request_table.hpp"
#include "chicorylink/gateway/retry_scheduler.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/routing/router.hpp"

#include <deque>
#include <optional>
#include <utility>

namespace chicorylink::gateway {
namespace {

refusal refusal_of(const routing::decision& router_decision)
{
    refusal rejection{refusal_kind::overloaded, "", "ask again after Retry-After",
                      run_outcome::not_run};
    if (router_decision.retry_after.count() > 0) {
        rejection.retry_after = router_decision.retry_after;
    }
    switch (router_decision.reason) {
    case routing::refusal_reason::none:
    case routing::refusal_reason::no_target:
        rejection.kind = refusal_kind::no_target;
        rejection.message = "no target of this route takes work in an allowed region";
        return rejection;
    case routing::refusal_reason::region_not_allowed:
        rejection.kind = refusal_kind::region_not_allowed;
        rejection.message = "the team may not use this region and no allowed one takes the request";
        return rejection;
    case routing::refusal_reason::deadline:
        rejection.message = "the queue is too long for the request's deadline";
        return rejection;
    case routing::refusal_reason::queue_full:
        rejection.message = "the queue of this VM is full";
        return rejection;
    case routing::refusal_reason::team_queue_full:
        rejection.message = "the team has too many requests waiting at this VM";
        return rejection;
    case routing::refusal_reason::brown_out:
        rejection.message = "capacity is short and requests of this kind are shed first";
        return rejection;
    }
    return rejection;
}

/// Tells the router that a request which it may have dispatched has ended already. The router
/// ignores unknown requests.
std::vector<routing::decision> release_slot(services& deps, const active_request& entry)
{
    deps.router->cancel(entry.id, entry.route.id);
    return deps.router->on_attempt_finished(
        {entry.id, entry.route.id, routing::attempt_outcome::cancelled, base::nanoseconds{0}},
        deps.now());
}

/// Marks the request as queued at the router.
/// @return False when the request is done.
bool mark_queued(active_request& entry)
{
    const std::lock_guard lock(entry.mutex);
    if (entry.phase == request_phase::done) {
        return false;
    }
    if (entry.phase != request_phase::responding) {
        entry.phase = request_phase::queued;
    }
    return true;
}

bool is_done(active_request& entry)
{
    const std::lock_guard lock(entry.mutex);
    return entry.phase == request_phase::done;
}

/// Applies one decision; returns the decisions that result from it.
std::vector<routing::decision> apply_decision(services& deps, const active_request_ptr& entry,
                                              const routing::decision& router_decision)
{
    if (is_done(*entry)) {
        return release_slot(deps, *entry);
    }
    switch (router_decision.kind) {
    case routing::decision_kind::dispatched:
        start_target_attempt(deps, entry, router_decision.target);
        break;
    case routing::decision_kind::queued:
        break;
    case routing::decision_kind::forward:
        start_forward(deps, entry, router_decision.region);
        break;
    case routing::decision_kind::refused:
        finish_refused(deps, entry, refusal_of(router_decision));
        break;
    }
    return {};
}

/// Schedules a retry and clears the failed attempt; returns the time, or empty without a retry.
std::optional<base::time_point> plan_next_attempt(services& deps, active_request& entry)
{
    const auto now = deps.now();
    const std::lock_guard lock(entry.mutex);
    if (entry.phase == request_phase::done) {
        return std::nullopt;
    }
    const auto plan = deps.retries->plan(entry, now);
    if (!plan) {
        return std::nullopt;
    }
    if (entry.target != base::target_id{}) {
        entry.routing_request.tried.push_back(std::exchange(entry.target, base::target_id{}));
    }
    if (entry.forward_region != base::region_id{}) {
        entry.routing_request.tried_regions.push_back(
            std::exchange(entry.forward_region, base::region_id{}));
    }
    entry.transfer.reset();
    entry.forward.reset();
    entry.routing_request.deadline = attempt_deadline(entry, now);
    return plan;
}

} // namespace

void submit(services& deps, const active_request_ptr& entry)
{
    if (!mark_queued(*entry)) {
        return;
    }
    routing::request routing_request;
    {
        const std::lock_guard lock(entry->mutex);
        routing_request = entry->routing_request;
    }
    const auto router_decision = deps.router->submit(routing_request, deps.now());
    apply_decisions(deps, apply_decision(deps, entry, router_decision));
}

void apply_decisions(services& deps, const std::vector<routing::decision>& decisions)
{
    std::deque<routing::decision> pending(decisions.begin(), decisions.end());
    while (!pending.empty()) {
        const auto router_decision = pending.front();
        pending.pop_front();
        if (const auto entry = deps.requests->find(router_decision.id)) {
            const auto more = apply_decision(deps, entry, router_decision);
            pending.insert(pending.end(), more.begin(), more.end());
        }
    }
}

void retry_or_refuse(services& deps, const active_request_ptr& entry, refusal fallback)
{
    if (const auto at = plan_next_attempt(deps, *entry)) {
        deps.retries->wait(entry, *at);
        return;
    }
    finish_refused(deps, entry, std::move(fallback));
}

} // namespace chicorylink::gateway
