#include "chicorylink/gateway/admission.hpp"

#include "chicorylink/dispatch/ticket_rules.hpp"
#include "chicorylink/gateway/budget_gate.hpp"
#include "chicorylink/gateway/chat_request.hpp"
#include "chicorylink/gateway/credentials.hpp"
#include "chicorylink/gateway/directory_answer.hpp"
#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/identity.hpp"
#include "chicorylink/gateway/loop_guard.hpp"
#include "chicorylink/gateway/retry_guard.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/single_run.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/gateway/ticket_desk.hpp"
#include "chicorylink/gateway/work_table.hpp"
#include "chicorylink/routing/prefix.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::gateway {
namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view directory_path = "/v1/vms";
constexpr std::string_view ticket_path = "/v1/tickets";
constexpr std::string_view ticket_header = "x-chicorylink-ticket";
constexpr std::string_view try_header = "x-chicorylink-try";

/// The tokens that a call of a plain service counts.
constexpr base::tokens service_call_tokens{16};

refusal not_ready()
{
    return {refusal_kind::not_ready, "this VM has no rules yet", "ask another VM or ask again",
            run_outcome::not_run, base::milliseconds{1'000}};
}

refusal leaving(const services& all)
{
    return {refusal_kind::leaving, "this VM is leaving",      "ask one of the VMs listed",
            run_outcome::not_run,  base::milliseconds{1'000}, other_vms(all, {all.region})};
}

refusal region_refusal(const services& all, const rules::team& who)
{
    return {
        refusal_kind::region_not_allowed,
        fmt::format("the rules do not let team '{}' use region '{}'", who.name, all.config.region),
        "ask one of the VMs listed",
        run_outcome::not_run,
        std::nullopt,
        other_vms(all, rules::allowed_regions(who))};
}

refusal bad_request(std::string message, std::string remedy)
{
    return {refusal_kind::bad_request, std::move(message), std::move(remedy)};
}

/// The name of the plain service that a path asks for: its first segment.
std::string service_name(std::string_view path)
{
    const auto rest = path.substr(std::min<std::size_t>(path.size(), 1));
    return decode_url(rest.substr(0, rest.find('/')));
}

/// The path within the service.
std::string service_path(std::string_view path)
{
    const auto slash = path.find('/', 1);
    return slash == std::string_view::npos ? "/" : std::string(path.substr(slash));
}

const rules::route* find_route(const rules::rulebook& book, std::string_view name,
                               rules::route_kind kind)
{
    const auto* route = book.find(base::id_of<base::route_id>(name));
    return route != nullptr && route->kind == kind ? route : nullptr;
}

refusal unknown_route(std::string_view name)
{
    return {refusal_kind::unknown_route, fmt::format("there is no route '{}'", name),
            "use the name of a route of the rules"};
}

/// What the head of a request tells: for whom it runs, or why it doesn't.
std::variant<identity, refusal> check_identity(services& all, const rules::rulebook& book,
                                               const caller_request& head)
{
    const auto keys = presented_keys(head);
    if (holds_key(head.path, keys)) {
        return refusal{refusal_kind::key_in_request, "the path holds the key",
                       "send the key in a header"};
    }
    auto found = identify(book, keys);
    const auto* who = std::get_if<identity>(&found);
    if (who == nullptr || head.path == directory_path) {
        return found;
    }
    const auto* team = book.find(who->team);
    if (!rules::may_run_in(*team, all.region)) {
        return region_refusal(all, *team);
    }
    return found;
}

std::optional<refusal> check_route_by_path(const rules::rulebook& book, const caller_request& head,
                                           const identity& who)
{
    if (head.path == chat_path || head.path == directory_path || head.path == ticket_path) {
        return std::nullopt;
    }
    const auto name = service_name(head.path);
    const auto* route = find_route(book, name, rules::route_kind::service);
    if (route == nullptr) {
        return unknown_route(name);
    }
    if (!who.key_digest && !route->open_to_all) {
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
    if (const auto* why = std::get_if<refusal>(&found)) {
        return *why;
    }
    return check_route_by_path(*book, head, std::get<identity>(found));
}

answer_sink make_sink(const std::shared_ptr<exchange>& request)
{
    answer_sink sink;
    sink.whole = [request](http_answer answer, run_outcome outcome) {
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

void answer_refused(services& all, exchange& request, const refusal& why)
{
    count_refusal(all, why.kind);
    request.answer(answer_of(why));
}

std::string next_correlation(services& all)
{
    return fmt::format("{:016x}-{}", all.process.load().value(), ++all.last_correlation);
}

/// Sets what all requests have in common, once route and content are known.
void prepare(services& all, work& entry, const rules::route& route, base::time_point deadline)
{
    entry.route = route;
    entry.arrived = all.now();
    entry.deadline = deadline;
    entry.asked.id = entry.id;
    entry.asked.team = entry.team;
    entry.asked.route = route.id;
    entry.asked.order = route.order;
    entry.asked.prompt_tokens = entry.prompt_bound;
    entry.asked.answer_tokens = entry.answer_bound;
    entry.asked.body = base::bytes{static_cast<std::int64_t>(entry.content.body.size())};
    entry.asked.deadline = deadline;
    entry.asked.hop = entry.hop;
}

/// Reads a chat request into the work; returns why it is refused, or empty.
std::optional<refusal> read_chat(services& all, const rules::rulebook& book, work& entry,
                                 const std::string& body, const rules::route*& route)
{
    std::optional<refusal> why;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                chat, parse_chat_request(body, base::tokens{all.config.default_answer_tokens}));
            route = find_route(book, chat.model, rules::route_kind::model);
            if (route == nullptr) {
                why = unknown_route(chat.model);
                return {};
            }
            entry.stream = chat.stream;
            entry.prompt_bound = chat.prompt_bound;
            entry.answer_bound = chat.answer_bound;
            entry.content.body = std::move(chat.body);
            const std::vector<std::string_view> messages(chat.messages.begin(),
                                                         chat.messages.end());
            entry.asked.prefix =
                routing::make_prefix(all.prefix_salt, entry.team, messages, chat.opening);
            return {};
        },
        [&](const base::error& failure) { why = bad_request(failure.message, failure.remedy); },
        [&] { why = bad_request("the body can't be read", "send a chat request"); });
    return why;
}

std::optional<refusal> read_service_call(const rules::rulebook& book, work& entry,
                                         const caller_request& request, const rules::route*& route)
{
    const auto name = service_name(request.path);
    route = find_route(book, name, rules::route_kind::service);
    if (route == nullptr) {
        return unknown_route(name);
    }
    entry.content.path = service_path(request.path);
    entry.content.body = request.body;
    entry.prompt_bound = service_call_tokens;
    return std::nullopt;
}

/// Fills the work from a caller's request; returns why it is refused, or empty.
std::optional<refusal> read_request(services& all, const rules::rulebook& book, work& entry,
                                    const caller_request& request, const identity& who)
{
    const auto keys = presented_keys(request);
    entry.team = who.team;
    entry.key_digest = who.key_digest;
    entry.version = book.version();
    entry.correlation = next_correlation(all);
    entry.content.method = request.method;
    entry.content.headers = target_headers(request.headers, keys);
    entry.content.query = target_query(request.query, keys);
    entry.ticket = find_header(request.headers, ticket_header);
    entry.is_first_try = find_header(request.headers, try_header) == "1";
    entry.content.path = request.path;
    const rules::route* route = nullptr;
    auto why = request.path == chat_path ? read_chat(all, book, entry, request.body, route)
                                         : read_service_call(book, entry, request, route);
    if (why) {
        return why;
    }
    if (holds_key(entry.content.body, keys)) {
        return refusal{refusal_kind::key_in_request, "the body holds the key",
                       "send the key in a header only"};
    }
    if (!who.key_digest && !route->open_to_all) {
        return refusal{refusal_kind::no_key, "the route needs a key",
                       "send 'Authorization: Bearer KEY'"};
    }
    prepare(all, entry, *route, all.now() + route->deadline);
    return std::nullopt;
}

void accept_work(services& all, const rules::rulebook& book,
                 const std::shared_ptr<exchange>& request, const identity& who)
{
    const auto entry = all.works->make();
    entry->sink = make_sink(request);
    const auto why = read_request(all, book, *entry, request->request(), who);
    if (why) {
        answer_refused(all, *request, *why);
        return;
    }
    all.works->add(entry);
    request->set_owner(entry->id.value());
    all.retries->on_request();
    all.budget->reserve(entry);
}

/// Takes a call for a ticket. It costs no tokens of the team's budget.
void accept_ticket_call(services& all, const rules::rulebook& book,
                        const std::shared_ptr<exchange>& request, const identity& who)
{
    const auto name = find_parameter(request->request().query, "route");
    const auto* route = book.find(base::id_of<base::route_id>(name));
    if (route == nullptr || !who.key_digest) {
        answer_refused(all, *request, unknown_route(name));
        return;
    }
    const auto entry = all.works->make();
    entry->sink = make_sink(request);
    entry->team = who.team;
    entry->key_digest = who.key_digest;
    entry->version = book.version();
    entry->correlation = next_correlation(all);
    entry->purpose = forward_purpose::issue_ticket;
    entry->content.method = "POST";
    prepare(all, *entry, *route, all.now() + route->deadline);
    all.works->add(entry);
    request->set_owner(entry->id.value());
    issue_ticket(all, entry);
}

/// What may be said of a forwarded request that is refused before it began.
run_outcome refused_outcome(services& all, const forwarded_request& message)
{
    if (message.ticket.empty()) {
        return run_outcome::not_run;
    }
    return base::leaf::try_handle_all(
        [&]() -> base::result<run_outcome> {
            BOOST_LEAF_AUTO(ticket, all.tickets->read(message.ticket));
            return all.tickets->refuse(ticket);
        },
        [] { return run_outcome::not_run; });
}

/// Why a forwarded request is refused by the rules in force here, or empty.
std::optional<refusal> forwarded_refusal(services& all, const forwarded_request& message)
{
    const auto book = all.rulebook();
    if (!book || !all.rules_are_current()) {
        return not_ready();
    }
    if (all.leaving) {
        return leaving(all);
    }
    const auto* who = book->find(message.team);
    const auto* route = book->find(message.route);
    if (who == nullptr || route == nullptr) {
        return refusal{refusal_kind::unknown_route, "the team or the route is unknown here",
                       "ask again in a few seconds", run_outcome::not_run,
                       base::milliseconds{1'000}};
    }
    if (!rules::may_run_in(*who, all.region)) {
        return region_refusal(all, *who);
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

std::optional<http_answer> check_head(services& all, const caller_request& head)
{
    auto why = head_refusal(all, head);
    if (!why) {
        return std::nullopt;
    }
    const bool has_ticket = !find_header(head.headers, ticket_header).empty();
    const bool is_first_try = find_header(head.headers, try_header) == "1";
    why->outcome = dispatch::outcome_of_entry_refusal(has_ticket, is_first_try);
    count_refusal(all, why->kind);
    return answer_of(*why);
}

void accept(services& all, const std::shared_ptr<exchange>& request)
{
    const auto& content = request->request();
    const auto why = head_refusal(all, content);
    if (why) {
        answer_refused(all, *request, *why);
        return;
    }
    const auto book = all.rulebook();
    const auto found = identify(*book, presented_keys(content));
    const auto* who = std::get_if<identity>(&found);
    if (who == nullptr) {
        answer_refused(all, *request, std::get<refusal>(found));
        return;
    }
    if (content.path == directory_path) {
        request->answer(answer_directory(all, *book, *who, content.caller_hash));
        return;
    }
    if (content.path == ticket_path) {
        accept_ticket_call(all, *book, request, *who);
        return;
    }
    accept_work(all, *book, request, *who);
}

std::optional<refusal> check_forwarded(services& all, const forwarded_request& message)
{
    auto why = forwarded_refusal(all, message);
    if (why) {
        why->outcome = refused_outcome(all, message);
    }
    return why;
}

work_ptr make_forwarded_work(services& all, const forwarded_request& message, std::string body,
                             answer_sink sink)
{
    const auto book = all.rulebook();
    auto entry = all.works->make();
    entry->sink = std::move(sink);
    entry->team = message.team;
    entry->key_digest = message.key_digest;
    entry->version = std::max(message.version, book->version());
    entry->correlation = message.request_id;
    entry->content = {message.method, message.path, message.query, message.headers,
                      std::move(body)};
    entry->stream = message.stream;
    entry->ticket = message.ticket;
    entry->hop = message.hop;
    entry->prompt_bound = message.prompt_tokens;
    entry->answer_bound = message.answer_tokens;
    entry->asked.prefix.session = routing::prefix_hash{message.session};
    for (const auto block : message.blocks) {
        entry->asked.prefix.blocks.emplace_back(block);
    }
    prepare(all, *entry, *book->find(message.route), all.now() + message.deadline);
    entry->attempts = message.attempt;
    entry->progress.next_token = message.resume_from;
    all.works->add(entry);
    return entry;
}

void run_forwarded(services& all, const work_ptr& entry, forward_purpose purpose)
{
    if (purpose == forward_purpose::issue_ticket) {
        issue_forwarded_ticket(all, entry);
        return;
    }
    run(all, entry);
}

} // namespace chicorylink::gateway
