#include "chicorylink/gateway/forwarded_admission.hpp"

#include "chicorylink/gateway/request_reading.hpp"
#include "chicorylink/gateway/request_table.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/single_run.hpp"
#include "chicorylink/gateway/standard_refusals.hpp"
#include "chicorylink/gateway/ticket_manager.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::gateway {
namespace {

/// The outcome to report for a forwarded request that is refused before it began.
run_outcome refused_outcome(services& deps, const forwarded_request& message)
{
    if (message.ticket.empty()) {
        return run_outcome::not_run;
    }
    return base::leaf::try_handle_all(
        [&]() -> base::result<run_outcome> {
            BOOST_LEAF_AUTO(ticket, deps.tickets->read(message.ticket));
            return deps.tickets->refuse(ticket);
        },
        [] { return run_outcome::not_run; });
}

/// Checks a forwarded request against the rules in force here; empty when it is allowed.
std::optional<refusal> forwarded_refusal(services& deps, const forwarded_request& message)
{
    const auto book = deps.rulebook();
    if (!book || !deps.rules_are_current()) {
        return not_ready();
    }
    if (deps.leaving) {
        return leaving(deps);
    }
    const auto* caller_team = book->find(message.team);
    const auto* route = book->find(message.route);
    if (caller_team == nullptr || route == nullptr) {
        return refusal{refusal_kind::unknown_route, "the team or the route is unknown here",
                       "ask again in a few seconds", run_outcome::not_run,
                       base::milliseconds{1'000}};
    }
    if (!rules::may_run_in(*caller_team, deps.region)) {
        return region_refusal(deps, *caller_team);
    }
    const auto* key = message.key_digest ? book->find_key(*message.key_digest) : nullptr;
    const bool right_key = key != nullptr && key->team == message.team;
    if (!right_key && !(route->open_to_all && !message.key_digest)) {
        return refusal{refusal_kind::unknown_key, "the key is unknown or was withdrawn",
                       "ask the operators for a key"};
    }
    return std::nullopt;
}

} // namespace

std::optional<refusal> check_forwarded(services& deps, const forwarded_request& message)
{
    auto rejection = forwarded_refusal(deps, message);
    if (rejection) {
        rejection->outcome = refused_outcome(deps, message);
    }
    return rejection;
}

active_request_ptr make_forwarded_request(services& deps, const forwarded_request& message,
                                          std::string body, response_sink sink)
{
    const auto book = deps.rulebook();
    auto entry = deps.requests->make();
    entry->sink = std::move(sink);
    entry->team = message.team;
    entry->key_digest = message.key_digest;
    entry->version = std::max(message.version, book->version());
    entry->correlation_id = message.request_id;
    entry->content = {message.method, message.path, message.query, message.headers,
                      std::move(body)};
    entry->stream = message.stream;
    entry->ticket = message.ticket;
    entry->hop = message.hop;
    entry->prompt_bound = message.prompt_tokens;
    entry->answer_bound = message.answer_tokens;
    entry->routing_request.prefix.session = routing::prefix_hash{message.session};
    for (const auto block : message.blocks) {
        entry->routing_request.prefix.blocks.emplace_back(block);
    }
    prepare(deps, *entry, *book->find(message.route), deps.now() + message.deadline);
    entry->attempts = message.attempt;
    entry->progress.next_token = message.resume_from;
    deps.requests->add(entry);
    return entry;
}

void run_forwarded(services& deps, const active_request_ptr& entry, forward_purpose purpose)
{
    if (purpose == forward_purpose::issue_ticket) {
        issue_forwarded_ticket(deps, entry);
        return;
    }
    run(deps, entry);
}

} // namespace chicorylink::gateway
