#include "chicorylink/front/resolution.hpp"

#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/tracked_target.hpp"
#include "chicorylink/front/plain_number.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <charconv>
#include <string>

namespace chicorylink::front {
namespace {

/// A VM that lags behind its peers or has just started catches up within about this time.
constexpr base::milliseconds catch_up_time{400};

std::string_view host_of(const message_head& head)
{
    const auto* host = find_field(head.fields, "Host");
    return host == nullptr ? std::string_view{} : std::string_view{*host};
}

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

const fleet::route* route_of(const fleet::configuration& config, const message_head& head)
{
    const auto path = path_of(head.target);
    const auto host = host_of(head);
    const auto* route = config.find_route(host, path);
    return route != nullptr ? route : config.find_route(without_port(host), path);
}

/// A request that another VM accepted under a newer version must not be denied by an older one.
bool is_behind(const fleet::configuration& config, const incoming_request& request)
{
    return request.forwarder_version && *request.forwarder_version > config.version();
}

resolution deny(const fleet::configuration& config, const incoming_request& request, int status,
                std::string_view reason)
{
    if (is_behind(config, request)) {
        return refusal{unavailable_status, "configuration_behind", catch_up_time};
    }
    return refusal{status, reason, std::nullopt};
}

} // namespace

resolution resolve(const std::shared_ptr<const fleet::configuration>& config,
                   const incoming_request& request, const header_names& names)
{
    if (!config) {
        return refusal{unavailable_status, "no_configuration", catch_up_time};
    }
    if (request.id.empty()) {
        return refusal{bad_request_status, "no_request_id", std::nullopt};
    }
    resolved_request found;
    found.config = config;
    found.route = route_of(*config, request.head);
    if (found.route == nullptr || found.route->services.empty()) {
        return deny(*config, request, not_found_status, "no_route");
    }
    found.priority = found.route->priority;
    const auto* key = find_field(request.head.fields, names.key);
    if (!found.route->is_public && !config->teams().empty()) {
        found.team = key == nullptr ? nullptr : config->team_of_key(*key);
        if (found.team == nullptr) {
            return deny(*config, request, unauthorized_status, "unknown_key");
        }
        found.priority = found.team->priority.value_or(found.priority);
    }
    const auto& service = fleet::pick_service(*found.route, base::hash_name(request.id));
    found.service = config->find_service(service);
    if (found.service == nullptr) {
        return refusal{unavailable_status, "unknown_service", catch_up_time};
    }
    return found;
}

std::uint8_t urgency_of(const resolved_request& resolved)
{
    // Within one priority, requests of the more urgent route go first: with the team's priority
    // alone, its short questions would wait behind its long ones.
    constexpr int least_urgent = fleet::urgency_levels - 1;
    constexpr int routes_per_rank = 3;
    const int route = std::clamp(resolved.route->priority, 0, routes_per_rank - 1);
    return static_cast<std::uint8_t>(
        std::clamp(resolved.priority * routes_per_rank + route, 0, least_urgent));
}

std::optional<fleet::prompt> prompt_of(const message_head& head, const header_names& names)
{
    const auto* counts = find_field(head.fields, names.token_counts);
    if (counts == nullptr) {
        return std::nullopt;
    }
    const auto tokens = fleet::parse_token_counts(*counts);
    if (!tokens) {
        return std::nullopt;
    }
    fleet::prompt parsed;
    parsed.prompt_tokens = tokens->prompt_tokens;
    parsed.answer_tokens = tokens->answer_tokens;
    const auto* estimate = find_field(head.fields, names.output_estimate);
    if (const auto output = estimate == nullptr ? std::nullopt : parse_plain_number(*estimate)) {
        parsed.output_tokens = static_cast<std::uint32_t>(
            std::min(*output, static_cast<double>(parsed.answer_tokens)));
    }
    const auto* model = find_field(head.fields, names.model);
    const auto* parts = find_field(head.fields, names.prompt_parts);
    if (parts != nullptr) {
        parsed.parts =
            fleet::parse_prompt_parts(model == nullptr ? std::string_view{} : *model, *parts);
    }
    if (!parsed.parts.empty()) {
        // The last part is unique to the request; the one before it is shared within its session.
        const auto session = parsed.parts.size() > 1 ? parsed.parts.size() - 2 : 0;
        parsed.session = parsed.parts[session].chain;
    }
    return parsed;
}

std::optional<base::milliseconds> requested_timeout(const message_head& head,
                                                    const header_names& names)
{
    const auto* text = find_field(head.fields, names.deadline_ms);
    if (text == nullptr) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text->data(), text->data() + text->size(), value);
    if (problem != std::errc{} || end == text->data()) {
        return std::nullopt;
    }
    return base::milliseconds{value};
}

} // namespace chicorylink::front
