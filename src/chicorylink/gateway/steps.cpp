#include "chicorylink/gateway/steps.hpp"

#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/retry_guard.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/work_table.hpp"
#include "chicorylink/routing/router.hpp"

#include <deque>
#include <optional>
#include <utility>

namespace chicorylink::gateway {
namespace {

refusal refusal_of(const routing::decision& decided)
{
    refusal why{refusal_kind::overloaded, "", "ask again after Retry-After", run_outcome::not_run};
    if (decided.retry_after.count() > 0) {
        why.retry_after = decided.retry_after;
    }
    switch (decided.reason) {
    case routing::refusal_reason::none:
    case routing::refusal_reason::no_target:
        why.kind = refusal_kind::no_target;
        why.message = "no target of this route takes work in an allowed region";
        return why;
    case routing::refusal_reason::region_not_allowed:
        why.kind = refusal_kind::region_not_allowed;
        why.message = "the team may not use this region and no allowed one takes the request";
        return why;
    case routing::refusal_reason::deadline:
        why.message = "the queue is too long for the request's deadline";
        return why;
    case routing::refusal_reason::queue_full:
        why.message = "the queue of this VM is full";
        return why;
    case routing::refusal_reason::team_queue_full:
        why.message = "the team has too many requests waiting at this VM";
        return why;
    case routing::refusal_reason::brown_out:
        why.message = "capacity is short and requests of this kind are shed first";
        return why;
    }
    return why;
}

/// Tells the router that a request which it may have dispatched is over already. The router
/// ignores requests that it does not know.
std::vector<routing::decision> give_slot_back(services& all, const work& entry)
{
    all.router->cancel(entry.id, entry.route.id);
    return all.router->on_attempt_finished(
        {entry.id, entry.route.id, routing::attempt_outcome::cancelled, base::nanoseconds{0}},
        all.now());
}

/// Marks the request as one that the router decides about.
/// @return False when the request is over.
bool mark_queued(work& entry)
{
    const std::lock_guard lock(entry.mutex);
    if (entry.phase == work_phase::done) {
        return false;
    }
    if (entry.phase != work_phase::answering) {
        entry.phase = work_phase::queued;
    }
    return true;
}

bool is_done(work& entry)
{
    const std::lock_guard lock(entry.mutex);
    return entry.phase == work_phase::done;
}

/// Carries out one decision; returns further ones that come of it.
std::vector<routing::decision> carry_out(services& all, const work_ptr& entry,
                                         const routing::decision& decided)
{
    if (is_done(*entry)) {
        return give_slot_back(all, *entry);
    }
    switch (decided.kind) {
    case routing::decision_kind::dispatched:
        start_target_attempt(all, entry, decided.target);
        break;
    case routing::decision_kind::queued:
        break;
    case routing::decision_kind::forward:
        start_forward(all, entry, decided.region);
        break;
    case routing::decision_kind::refused:
        finish_refused(all, entry, refusal_of(decided));
        break;
    }
    return {};
}

/// Plans another attempt and forgets the failed one; returns when, or empty when there is none.
std::optional<base::time_point> plan_next_attempt(services& all, work& entry)
{
    const auto now = all.now();
    const std::lock_guard lock(entry.mutex);
    if (entry.phase == work_phase::done) {
        return std::nullopt;
    }
    const auto plan = all.retries->plan(entry, now);
    if (!plan) {
        return std::nullopt;
    }
    if (entry.target != base::target_id{}) {
        entry.asked.tried.push_back(std::exchange(entry.target, base::target_id{}));
    }
    if (entry.forward_region != base::region_id{}) {
        entry.asked.tried_regions.push_back(std::exchange(entry.forward_region, base::region_id{}));
    }
    entry.transfer.reset();
    entry.forward.reset();
    entry.asked.deadline = attempt_deadline(entry, now);
    return plan;
}

} // namespace

void submit(services& all, const work_ptr& entry)
{
    if (!mark_queued(*entry)) {
        return;
    }
    routing::request asked;
    {
        const std::lock_guard lock(entry->mutex);
        asked = entry->asked;
    }
    const auto decided = all.router->submit(asked, all.now());
    apply_decisions(all, carry_out(all, entry, decided));
}

void apply_decisions(services& all, const std::vector<routing::decision>& decisions)
{
    std::deque<routing::decision> todo(decisions.begin(), decisions.end());
    while (!todo.empty()) {
        const auto decided = todo.front();
        todo.pop_front();
        if (const auto entry = all.works->find(decided.id)) {
            const auto more = carry_out(all, entry, decided);
            todo.insert(todo.end(), more.begin(), more.end());
        }
    }
}

void retry_or_refuse(services& all, const work_ptr& entry, refusal otherwise)
{
    if (const auto at = plan_next_attempt(all, *entry)) {
        all.retries->wait(entry, *at);
        return;
    }
    finish_refused(all, entry, std::move(otherwise));
}

} // namespace chicorylink::gateway
