#include "chicorylink/gateway/single_run.hpp"

#include "chicorylink/dispatch/executor_choice.hpp"
#include "chicorylink/gateway/directory_response.hpp"
#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/gateway/ticket_manager.hpp"
#include "chicorylink/membership/view.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

constexpr base::milliseconds in_progress_retry{500};

refusal ticket_refusal(std::string message, std::string remedy, run_outcome outcome)
{
    return {refusal_kind::ticket_rejected, std::move(message), std::move(remedy), outcome};
}

/// Digest of a request, to detect whether a ticket is reused for the same request.
base::digest digest_of(const active_request& entry)
{
    const auto& content = entry.content;
    return base::sha256(fmt::format("{}\n{}\n{}\n", content.method, content.path, content.query),
                        content.body);
}

http_response replay_response(const dispatch::stored_response& stored)
{
    http_response response{stored.status, {{"X-Chicorylink-Replayed", "yes"}}, stored.body};
    if (!stored.content_type.empty()) {
        response.headers.emplace_back("content-type", stored.content_type);
    }
    if (!stored.has_body) {
        response.headers.emplace_back("X-Chicorylink-Body-Digest",
                                      "sha256:" + base::to_hex(stored.body_digest));
    }
    return response;
}

refusal refusal_of(const dispatch::ticket_decision& decision)
{
    switch (decision.verdict) {
    case dispatch::ticket_verdict::in_progress: {
        refusal rejection{refusal_kind::in_progress,
                          "a request with this ticket runs at this moment",
                          "repeat it after Retry-After to get its answer", decision.result};
        rejection.retry_after = in_progress_retry;
        return rejection;
    }
    case dispatch::ticket_verdict::voided:
    case dispatch::ticket_verdict::expired:
        return ticket_refusal("the ticket can't be used any more; its request did not run",
                              "get a new ticket and send the request with it", decision.result);
    case dispatch::ticket_verdict::mismatch:
        return ticket_refusal("the ticket was used for another request",
                              "get a ticket for each request", decision.result);
    case dispatch::ticket_verdict::run:
    case dispatch::ticket_verdict::answered:
    case dispatch::ticket_verdict::uncertain:
    case dispatch::ticket_verdict::forgotten:
        break;
    }
    return ticket_refusal("whether the request ran can't be told",
                          "look up at the service whether it took effect", decision.result);
}

/// Runs a request at this VM, which its ticket names, unless it has run already.
void run_with_ticket(services& deps, const active_request_ptr& entry,
                     const dispatch::ticket& ticket)
{
    const dispatch::attempt_id holder{ticket.process, entry->id.value()};
    const auto decision = deps.tickets->begin(ticket, digest_of(*entry), holder);
    if (decision.verdict == dispatch::ticket_verdict::answered) {
        finish_response(deps, entry, replay_response(*decision.response), run_outcome::ran);
        return;
    }
    if (decision.verdict != dispatch::ticket_verdict::run) {
        finish_refused(deps, entry, refusal_of(decision));
        return;
    }
    {
        const std::lock_guard lock(entry->mutex);
        entry->held_ticket = ticket;
        entry->ticket_process = ticket.process;
        entry->routing_request.pinned = true;
    }
    submit(deps, entry);
}

void use_ticket(services& deps, const active_request_ptr& entry, const dispatch::ticket& ticket)
{
    const auto book = deps.rulebook();
    const auto* team = book->find(entry->team);
    if (team == nullptr || ticket.team != entry->team || ticket.route != entry->route.id) {
        finish_refused(deps, entry,
                       ticket_refusal("the ticket is for another team or route",
                                      "get a ticket for this team and route",
                                      run_outcome::not_run));
        return;
    }
    const auto location =
        dispatch::locate_executor(ticket, *team, *deps.view(), deps.process.load());
    if (location == dispatch::executor_location::here) {
        run_with_ticket(deps, entry, ticket);
        return;
    }
    if (location == dispatch::executor_location::forward && entry->hop == 0) {
        start_forward_to(deps, entry, ticket.executor);
        return;
    }
    finish_refused(deps, entry,
                   ticket_refusal(fmt::format("the VM of the ticket can't be asked: {}",
                                              dispatch::to_string(location)),
                                  "look up at the service whether the request took effect",
                                  run_outcome::unknown));
}

/// The response to a request for a ticket.
http_response ticket_response(services& deps, const std::string& text,
                              const std::vector<std::string>& vms)
{
    const nlohmann::ordered_json body{
        {"ticket", text}, {"vms", vms}, {"expires_in_ms", deps.tickets->lifetime().count()}};
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

refusal issue_failure(const base::error& failure)
{
    refusal rejection{refusal_kind::overloaded, failure.message, failure.remedy,
                      run_outcome::not_run};
    rejection.retry_after = in_progress_retry;
    return rejection;
}

/// Issues a ticket at this VM and responds with it.
void issue_locally(services& deps, const active_request_ptr& entry)
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(text, deps.tickets->issue(entry->team, entry->route.id));
            const auto view = deps.view();
            const auto* self = membership::find(*view, deps.self);
            auto vms = other_vms(deps, {deps.region});
            if (self != nullptr) {
                vms.insert(vms.begin(), self->caller_address);
            }
            finish_response(deps, entry, ticket_response(deps, text, vms), run_outcome::not_run);
            return {};
        },
        [&](const base::error& failure) { finish_refused(deps, entry, issue_failure(failure)); },
        [&] { finish_refused(deps, entry, issue_failure({})); });
}

} // namespace

void run(services& deps, const active_request_ptr& entry)
{
    if (entry->route.idempotent || entry->ticket.empty()) {
        submit(deps, entry);
        return;
    }
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(ticket, deps.tickets->read(entry->ticket));
            use_ticket(deps, entry, ticket);
            return {};
        },
        [&](const base::error& failure) {
            finish_refused(deps, entry,
                           ticket_refusal(failure.message, failure.remedy, run_outcome::not_run));
        },
        [&] {
            finish_refused(deps, entry,
                           ticket_refusal("the ticket can't be read", "get a new ticket",
                                          run_outcome::not_run));
        });
}

void issue_ticket(services& deps, const active_request_ptr& entry)
{
    const auto book = deps.rulebook();
    const auto* team = book->find(entry->team);
    const auto vms = dispatch::executors_for(*book, *team, entry->route.id, *deps.view());
    if (vms.empty()) {
        finish_refused(deps, entry,
                       {refusal_kind::no_target,
                        "no live VM of an allowed region has a target "
                        "of the route",
                        "ask again after Retry-After", run_outcome::not_run, in_progress_retry});
        return;
    }
    if (vms.front().id == deps.self) {
        issue_locally(deps, entry);
        return;
    }
    start_forward_to(deps, entry, vms.front().id);
}

void issue_forwarded_ticket(services& deps, const active_request_ptr& entry)
{
    issue_locally(deps, entry);
}

} // namespace chicorylink::gateway
