#include "chicorylink/gateway/operators_api.hpp"

#include "chicorylink/gateway/caller_request.hpp"

namespace chicorylink::gateway {
namespace {

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;
constexpr int status_unavailable = 503;

http_response json_response(int status, const nlohmann::ordered_json& body)
{
    return {status,
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n"};
}

http_response text_response(int status, std::string body)
{
    return {status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(body)};
}

http_response rows_response(const nlohmann::ordered_json& rows)
{
    return json_response(status_ok, {{"rows", rows}});
}

http_response handle_drain(const operators_sources& sources, const caller_request& request)
{
    if (request.method != "POST") {
        return json_response(status_method_not_allowed, {{"error", "use POST"}});
    }
    sources.drain();
    return json_response(status_accepted, {{"leaving", true}});
}

} // namespace

http_response handle_operator_request(const operators_sources& sources,
                                      const caller_request& request)
{
    if (request.path == "/healthz") {
        return text_response(status_ok, "ok\n");
    }
    if (request.path == "/readyz") {
        const bool ready = sources.ready();
        return text_response(ready ? status_ok : status_unavailable,
                             ready ? "ready\n" : "not ready\n");
    }
    if (request.path == "/metrics") {
        return text_response(status_ok, sources.metrics());
    }
    if (request.path == "/v1/status") {
        return json_response(status_ok, sources.status());
    }
    if (request.path == "/v1/vms") {
        return rows_response(sources.vms());
    }
    if (request.path == "/v1/targets") {
        return rows_response(sources.targets());
    }
    if (request.path == "/v1/teams") {
        return rows_response(sources.teams());
    }
    if (request.path == "/v1/audit") {
        return rows_response(sources.audit());
    }
    if (request.path == "/v1/drain") {
        return handle_drain(sources, request);
    }
    return json_response(status_not_found, {{"error", "there is no such page"}});
}

} // namespace chicorylink::gateway
