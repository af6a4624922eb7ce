#include "chicorylink/gateway/admission.hpp"

#include "chicorylink/dispatch/ticket_rules.hpp"
#include "chicorylink/gateway/budget_gate.hpp"
#include "chicorylink/gateway/credentials.hpp"
#include "chicorylink/gateway/directory_response.hpp"
#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/identity.hpp"
#include "chicorylink/gateway/loop_guard.hpp"
#include "chicorylink/gateway/request_reading.hpp"
#include "chicorylink/gateway/request_table.hpp"
#include "chicorylink/gateway/retry_scheduler.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/single_run.hpp"
#include "chicorylink/gateway/standard_refusals.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <utility>

namespace chicorylink::gateway {
namespace {

constexpr std::string_view directory_path = "/v1/vms";
constexpr std::string_view ticket_path = "/v1/tickets";

/// Identifies the caller by the request's head, or returns why the request is refused.
std::variant<identity, refusal> check_identity(services& deps, const rules::rulebook& book,
                                               const caller_request& head)
{
    const auto keys = presented_keys(head);
    if (contains_key(head.path, keys)) {
        return refusal{refusal_kind::key_in_request, "the path holds the key",
                       "send the key in a header"};
    }
    auto found = identify(book, keys);
    const auto* caller = std::get_if<identity>(&found);
    if (caller == nullptr || head.path == directory_path) {
        return found;
    }
    const auto* team = book.find(caller->team);
    if (!rules::may_run_in(*team, deps.region)) {
        return region_refusal(deps, *team);
    }
    return found;
}

std::optional<refusal> check_route_by_path(const rules::rulebook& book, const caller_request& head,
                                           const identity& caller)
{
    if (head.path == chat_path || head.path == directory_path || head.path == ticket_path) {
        return std::nullopt;
    }
    const auto name = service_name(head.path);
    const auto* route = find_route(book, name, rules::route_kind::service);
    if (route == nullptr) {
        return unknown_route(name);
    }
    if (!caller.key_digest && !route->open_to_all) {
        return refusal{refusal_kind::no_key, "the route needs a key",
                       "send 'Authorization: Bearer KEY'"};
    }
    return std::nullopt;
}

std::optional<refusal> head_refusal(services& deps, const caller_request& head)
{
    const auto book = deps.rulebook();
    if (!book || !deps.rules_are_current()) {
        return not_ready();
    }
    if (!find_header(head.headers, via_header_lower).empty()) {
        return refusal{refusal_kind::loop_refused, "the request came through the system before",
                       "let targets not send their work back to the system"};
    }
    if (deps.leaving && head.path != directory_path) {
        return leaving(deps);
    }
    const auto found = check_identity(deps, *book, head);
    if (const auto* rejection = std::get_if<refusal>(&found)) {
        return *rejection;
    }
    return check_route_by_path(*book, head, std::get<identity>(found));
}

response_sink make_sink(const std::shared_ptr<exchange>& request)
{
    response_sink sink;
    sink.respond = [request](http_response response, run_outcome outcome) {
        if (find_header(response.headers, "X-Chicorylink-Outcome").empty()) {
            response.headers.emplace_back("X-Chicorylink-Outcome", std::string(to_string(outcome)));
        }
        request->respond(std::move(response));
    };
    sink.begin = [request](int status, header_list headers) {
        request->begin(status, std::move(headers));
    };
    sink.append = [request](std::string_view piece) { return request->append(piece); };
    sink.finish = [request] { request->finish(); };
    sink.abort = [request] { request->abort(); };
    sink.set_on_room = [request](std::function<void()> on_room) {
        request->set_on_room(std::move(on_room));
    };
    return sink;
}

void send_refusal(services& deps, exchange& request, const refusal& rejection)
{
    count_refusal(deps, rejection.kind);
    request.respond(response_of(rejection));
}

void accept_request(services& deps, const rules::rulebook& book,
                    const std::shared_ptr<exchange>& request, const identity& caller)
{
    const auto entry = deps.requests->make();
    entry->sink = make_sink(request);
    const auto rejection = read_request(deps, book, *entry, request->request(), caller);
    if (rejection) {
        send_refusal(deps, *request, *rejection);
        return;
    }
    deps.requests->add(entry);
    request->set_owner(entry->id.value());
    deps.retries->on_request();
    deps.budget->reserve(entry);
}

/// Handles a request for a ticket, which costs no tokens of the team's budget.
void accept_ticket_call(services& deps, const rules::rulebook& book,
                        const std::shared_ptr<exchange>& request, const identity& caller)
{
    const auto name = find_parameter(request->request().query, "route");
    const auto* route = book.find(base::id_of<base::route_id>(name));
    if (route == nullptr || !caller.key_digest) {
        send_refusal(deps, *request, unknown_route(name));
        return;
    }
    const auto entry = deps.requests->make();
    entry->sink = make_sink(request);
    entry->team = caller.team;
    entry->key_digest = caller.key_digest;
    entry->version = book.version();
    entry->correlation_id = next_correlation_id(deps);
    entry->purpose = forward_purpose::issue_ticket;
    entry->content.method = "POST";
    prepare(deps, *entry, *route, deps.now() + route->deadline);
    deps.requests->add(entry);
    request->set_owner(entry->id.value());
    issue_ticket(deps, entry);
}

} // namespace

std::optional<http_response> check_head(services& deps, const caller_request& head)
{
    auto rejection = head_refusal(deps, head);
    if (!rejection) {
        return std::nullopt;
    }
    const bool has_ticket = !find_header(head.headers, ticket_header).empty();
    const bool is_first_try = find_header(head.headers, try_header) == "1";
    rejection->outcome = dispatch::outcome_of_entry_refusal(has_ticket, is_first_try);
    count_refusal(deps, rejection->kind);
    return response_of(*rejection);
}

void accept(services& deps, const std::shared_ptr<exchange>& request)
{
    const auto& content = request->request();
    const auto rejection = head_refusal(deps, content);
    if (rejection) {
        send_refusal(deps, *request, *rejection);
        return;
    }
    const auto book = deps.rulebook();
    const auto found = identify(*book, presented_keys(content));
    const auto* caller = std::get_if<identity>(&found);
    if (caller == nullptr) {
        send_refusal(deps, *request, std::get<refusal>(found));
        return;
    }
    if (content.path == directory_path) {
        request->respond(directory_response(deps, *book, *caller, content.caller_hash));
        return;
    }
    if (content.path == ticket_path) {
        accept_ticket_call(deps, *book, request, *caller);
        return;
    }
    accept_request(deps, *book, request, *caller);
}

} // namespace chicorylink::gateway
