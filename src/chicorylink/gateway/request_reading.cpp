#include "chicorylink/gateway/request_reading.hpp"

#include "chicorylink/gateway/chat_request.hpp"
#include "chicorylink/gateway/credentials.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/standard_refusals.hpp"
#include "chicorylink/routing/prefix.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace chicorylink::gateway {
namespace {

/// Tokens charged for a call of a plain service.
constexpr base::tokens service_call_tokens{16};

refusal bad_request(std::string message, std::string remedy)
{
    return {refusal_kind::bad_request, std::move(message), std::move(remedy)};
}

/// The path within the service.
std::string service_path(std::string_view path)
{
    const auto slash = path.find('/', 1);
    return slash == std::string_view::npos ? "/" : std::string(path.substr(slash));
}

/// Parses a chat request into the entry; returns the refusal, or empty when it is valid.
std::optional<refusal> read_chat(services& deps, const rules::rulebook& book, active_request& entry,
                                 const std::string& body, const rules::route*& route)
{
    std::optional<refusal> rejection;
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                chat, parse_chat_request(body, base::tokens{deps.config.default_answer_tokens}));
            route = find_route(book, chat.model, rules::route_kind::model);
            if (route == nullptr) {
                rejection = unknown_route(chat.model);
                return {};
            }
            entry.stream = chat.stream;
            entry.prompt_bound = chat.prompt_bound;
            entry.answer_bound = chat.answer_bound;
            entry.content.body = std::move(chat.body);
            const std::vector<std::string_view> messages(chat.messages.begin(),
                                                         chat.messages.end());
            entry.routing_request.prefix =
                routing::make_prefix(deps.prefix_salt, entry.team, messages, chat.opening);
            return {};
        },
        [&](const base::error& failure) {
            rejection = bad_request(failure.message, failure.remedy);
        },
        [&] { rejection = bad_request("the body can't be read", "send a chat request"); });
    return rejection;
}

std::optional<refusal> read_service_call(const rules::rulebook& book, active_request& entry,
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

} // namespace

std::string service_name(std::string_view path)
{
    const auto rest = path.substr(std::min<std::size_t>(path.size(), 1));
    return decode_url(rest.substr(0, rest.find('/')));
}

const rules::route* find_route(const rules::rulebook& book, std::string_view name,
                               rules::route_kind kind)
{
    const auto* route = book.find(base::id_of<base::route_id>(name));
    return route != nullptr && route->kind == kind ? route : nullptr;
}

std::string next_correlation_id(services& deps)
{
    return fmt::format("{:016x}-{}", deps.process.load().value(), ++deps.last_correlation);
}

void prepare(services& deps, active_request& entry, const rules::route& route,
             base::time_point deadline)
{
    entry.route = route;
    entry.arrived = deps.now();
    entry.deadline = deadline;
    entry.routing_request.id = entry.id;
    entry.routing_request.team = entry.team;
    entry.routing_request.route = route.id;
    entry.routing_request.order = route.order;
    entry.routing_request.prompt_tokens = entry.prompt_bound;
    entry.routing_request.answer_tokens = entry.answer_bound;
    entry.routing_request.body = base::bytes{static_cast<std::int64_t>(entry.content.body.size())};
    entry.routing_request.deadline = deadline;
    entry.routing_request.hop = entry.hop;
}

std::optional<refusal> read_request(services& deps, const rules::rulebook& book,
                                    active_request& entry, const caller_request& request,
                                    const identity& caller)
{
    const auto keys = presented_keys(request);
    entry.team = caller.team;
    entry.key_digest = caller.key_digest;
    entry.version = book.version();
    entry.correlation_id = next_correlation_id(deps);
    entry.content.method = request.method;
    entry.content.headers = target_headers(request.headers, keys);
    entry.content.query = target_query(request.query, keys);
    entry.ticket = find_header(request.headers, ticket_header);
    entry.is_first_try = find_header(request.headers, try_header) == "1";
    entry.content.path = request.path;
    const rules::route* route = nullptr;
    auto rejection = request.path == chat_path ? read_chat(deps, book, entry, request.body, route)
                                               : read_service_call(book, entry, request, route);
    if (rejection) {
        return rejection;
    }
    if (contains_key(entry.content.body, keys)) {
        return refusal{refusal_kind::key_in_request, "the body holds the key",
                       "send the key in a header only"};
    }
    if (!caller.key_digest && !route->open_to_all) {
        return refusal{refusal_kind::no_key, "the route needs a key",
                       "send 'Authorization: Bearer KEY'"};
    }
    prepare(deps, entry, *route, deps.now() + route->deadline);
    return std::nullopt;
}

} // namespace chicorylink::gateway
