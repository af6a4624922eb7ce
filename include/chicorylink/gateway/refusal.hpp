#ifndef CHICORYLINK_GATEWAY_REFUSAL_HPP
#define CHICORYLINK_GATEWAY_REFUSAL_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/outcome.hpp"
#include "chicorylink/gateway/http_response.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::gateway {

/// @brief Why a request was refused or failed.
enum class refusal_kind {
    no_key,
    unknown_key,
    ambiguous_key,
    key_withdrawn,
    region_not_allowed,
    unknown_route,
    bad_request,
    key_in_request,
    rate_exceeded,
    overloaded,
    deadline_exceeded,
    no_target,
    target_failed,
    leaving,
    not_ready,
    ticket_rejected,
    ticket_needed,
    in_progress,
    lost_link,
    loop_refused,
};

/// Whether the request took effect; the value of the header `X-Chicorylink-Outcome`.
using run_outcome = dispatch::outcome;

/// @brief The stable name of a kind, as in `error.kind` of the body.
[[nodiscard]] std::string_view to_string(refusal_kind kind);

/// @brief An error response of the gateway itself in place of a target's response.
struct refusal {
    refusal_kind kind = refusal_kind::bad_request;
    std::string message;
    std::string remedy;
    run_outcome outcome = run_outcome::not_run;
    std::optional<base::milliseconds> retry_after;
    /// Caller-facing addresses of VMs that may serve the request.
    std::vector<std::string> vms;
};

/// @brief The HTTP status of a kind.
[[nodiscard]] int status_of(refusal_kind kind);

/// @brief The refusal as JSON: `{"error": {"kind", "message", "remedy", "outcome", "vms"}}`.
[[nodiscard]] std::string body_of(const refusal& rejection);

/// @brief The complete HTTP response for a refusal, with `Retry-After` in seconds, rounded up.
[[nodiscard]] http_response response_of(const refusal& rejection);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_REFUSAL_HPP
