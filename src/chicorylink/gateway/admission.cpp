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
std::variant<identity, refusal> check_identity(services& all, const rules::rulebook& book,
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
    if (!rules::may_run_in(*team, all.region)) {
        return region_refusal(all, *team);
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

std::optional<refusal> head_refusal(services& all, const caller_request& head)
{
    const auto book = all.rulebook();
    if (!book || !all.rules_are_current()) {
        return not_ready();
    }
    if (!find_header(head.headers, via_header_lower).empty()) {
        return refusal{refusal_kind::loop_refused, "the request came through the system before",
                       "let targets not send their work back to the system"};
    }
    if (all.leaving && head.path != directory_path) {
        return leaving(all);
    }
    const auto found = check_identity(all, *book, head);
    if (const auto* rejection = std::get_if<refusal>(&found)) {
        return *rejection;
    }
    return check_route_by_path(*book, head, std::get<identity>(found));
}

response_sink make_sink(const std::shared_ptr<exchange>& request)
{
    response_sink sink;
    sink.whole = [request](http_response answer, run_outcome outcome) {
        if (find_header(answer.headers, "X-Chicorylink-Outcome").empty()) {
            answer.headers.emplace_back("X-Chicorylink-Outcome", std::string(to_string(outcome)));
        }
        request->answer(std::move(answer));
    };
    sink.begin = [request](int status, header_list headers) {
        request->begin(status, std::move(headers));
    };
    sink.append = [request](std::string_view piece) { return request->append(piece); };
    sink.finish = [request] { request->finish(); };
    sink.break_off = [request] { request->break_off(); };
    sink.set_on_room = [request](std::function<void()> on_room) {
        request->set_on_room(std::move(on_room));
    };
    return sink;
}

void answer_refused(services& all, exchange& request, const refusal& rejection)
{
    count_refusal(all, rejection.kind);
    request.answer(response_of(rejection));
}

void accept_request(services& all, const rules::rulebook& book,
                    const std::shared_ptr<exchange>& request, const identity& caller)
{
    const auto entry = all.works->make();
    entry->sink = make_sink(request);
    const auto rejection = read_request(all, book, *entry, request->request(), caller);
    if (rejection) {
        answer_refused(all, *request, *rejection);
        return;
    }
    all.works->add(entry);
    request->set_owner(entry->id.value());
    all.retries->on_request();
    all.budget->reserve(entry);
}

/// Handles a request for a ticket, which costs no tokens of the team's budget.
void accept_ticket_call(services& all, const rules::rulebook& book,
                        const std::shared_ptr<exchange>& request, const identity& caller)
{
    const auto name = find_parameter(request->request().query, "route");
    const auto* route = book.find(base::id_of<base::route_id>(name));
    if (route == nullptr || !caller.key_digest) {
        answer_refused(all, *request, unknown_route(name));
        return;
    }
    const auto entry = all.works->make();
    entry->sink = make_sink(request);
    entry->team = caller.team;
    entry->key_digest = caller.key_digest;
    entry->version = book.version();
    entry->correlation_id = next_correlation_id(all);
    entry->purpose = forward_purpose::issue_ticket;
    entry->content.method = "POST";
    prepare(all, *entry, *route, all.now() + route->deadline);
    all.works->add(entry);
    request->set_owner(entry->id.value());
    issue_ticket(all, entry);
}

} // namespace

std::optional<http_response> check_head(services& all, const caller_request& head)
{
    auto rejection = head_refusal(all, head);
    if (!rejection) {
        return std::nullopt;
    }
    const bool has_ticket = !find_header(head.headers, ticket_header).empty();
    const bool is_first_try = find_header(head.headers, try_header) == "1";
    rejection->outcome = dispatch::outcome_of_entry_refusal(has_ticket, is_first_try);
    count_refusal(all, rejection->kind);
    return response_of(*rejection);
}

void accept(services& all, const std::shared_ptr<exchange>& request)
{
    const auto& content = request->request();
    const auto rejection = head_refusal(all, content);
    if (rejection) {
        answer_refused(all, *request, *rejection);
        return;
    }
    const auto book = all.rulebook();
    const auto found = identify(*book, presented_keys(content));
    const auto* caller = std::get_if<identity>(&found);
    if (caller == nullptr) {
        answer_refused(all, *request, std::get<refusal>(found));
        return;
    }
    if (content.path == directory_path) {
        request->answer(answer_directory(all, *book, *caller, content.caller_hash));
        return;
    }
    if (content.path == ticket_path) {
        accept_ticket_call(all, *book, request, *caller);
        return;
    }
    accept_request(all, *book, request, *caller);
}

} // namespace chicorylink::gateway
