#ifndef CHICORYLINK_GATEWAY_OPERATORS_API_HPP
#define CHICORYLINK_GATEWAY_OPERATORS_API_HPP

#include "chicorylink/gateway/http_response.hpp"

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {

struct caller_request;

/// @brief Data sources and actions of the operators' interface. All functions are thread-safe.
struct operators_sources {
    /// One JSON object about this daemon.
    std::function<nlohmann::ordered_json()> status;
    /// Arrays of JSON objects, one per row.
    std::function<nlohmann::ordered_json()> vms;
    std::function<nlohmann::ordered_json()> targets;
    std::function<nlohmann::ordered_json()> teams;
    std::function<nlohmann::ordered_json()> audit;
    /// Metrics in the Prometheus text format.
    std::function<std::string()> metrics;
    /// Whether callers should be sent here.
    std::function<bool()> ready;
    /// Starts a graceful shutdown.
    std::function<void()> drain;
};

/// @brief Handles one request to the operators' listener: `/healthz`, `/readyz`, `/metrics`,
/// `/v1/status`, `/v1/vms`, `/v1/targets`, `/v1/teams`, `/v1/audit` and `POST /v1/drain`.
[[nodiscard]] http_response handle_operator_request(const operators_sources& sources,
                                                    const caller_request& request);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_OPERATORS_API_HPP
