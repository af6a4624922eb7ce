#include "chicorylink/gateway/refusal.hpp"

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

constexpr int milliseconds_per_second = 1'000;

struct kind_properties {
    std::string_view name;
    int status;
};

kind_properties properties_of(refusal_kind kind)
{
    switch (kind) {
    case refusal_kind::no_key:
        return {"no_key", 401};
    case refusal_kind::unknown_key:
        return {"unknown_key", 401};
    case refusal_kind::ambiguous_key:
        return {"ambiguous_key", 400};
    case refusal_kind::key_withdrawn:
        return {"key_withdrawn", 401};
    case refusal_kind::region_not_allowed:
        return {"region_not_allowed", 421};
    case refusal_kind::unknown_route:
        return {"unknown_route", 404};
    case refusal_kind::bad_request:
        return {"bad_request", 400};
    case refusal_kind::key_in_request:
        return {"key_in_request", 400};
    case refusal_kind::rate_exceeded:
        return {"rate_exceeded", 429};
    case refusal_kind::overloaded:
        return {"overloaded", 503};
    case refusal_kind::deadline_exceeded:
        return {"deadline_exceeded", 504};
    case refusal_kind::no_target:
        return {"no_target", 503};
    case refusal_kind::target_failed:
        return {"target_failed", 502};
    case refusal_kind::leaving:
        return {"leaving", 503};
    case refusal_kind::not_ready:
        return {"not_ready", 503};
    case refusal_kind::ticket_rejected:
        return {"ticket_rejected", 409};
    case refusal_kind::ticket_needed:
        return {"ticket_needed", 428};
    case refusal_kind::in_progress:
        return {"in_progress", 409};
    case refusal_kind::lost_link:
        return {"lost_link", 502};
    case refusal_kind::loop_refused:
        return {"loop_refused", 508};
    }
    return {"bad_request", 400};
}

} // namespace

std::string_view to_string(refusal_kind kind)
{
    return properties_of(kind).name;
}

int status_of(refusal_kind kind)
{
    return properties_of(kind).status;
}

std::string body_of(const refusal& rejection)
{
    nlohmann::ordered_json error;
    error["kind"] = to_string(rejection.kind);
    error["message"] = rejection.message;
    error["remedy"] = rejection.remedy;
    error["outcome"] = to_string(rejection.outcome);
    if (rejection.retry_after) {
        error["retry_after_ms"] = rejection.retry_after->count();
    }
    if (!rejection.vms.empty()) {
        error["vms"] = rejection.vms;
    }
    const nlohmann::ordered_json body{{"error", error}};
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

http_response response_of(const refusal& rejection)
{
    http_response response{status_of(rejection.kind),
                           {{"Content-Type", "application/json"},
                            {"X-Chicorylink-Outcome", std::string(to_string(rejection.outcome))}},
                           body_of(rejection)};
    if (rejection.retry_after) {
        const auto seconds = (rejection.retry_after->count() + milliseconds_per_second - 1) /
                             milliseconds_per_second;
        response.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    return response;
}

} // namespace chicorylink::gateway
