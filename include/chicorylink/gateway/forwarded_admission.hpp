#ifndef CHICORYLINK_GATEWAY_FORWARDED_ADMISSION_HPP
#define CHICORYLINK_GATEWAY_FORWARDED_ADMISSION_HPP

#include "chicorylink/gateway/active_request.hpp"
#include "chicorylink/gateway/forwarded_request.hpp"
#include "chicorylink/gateway/refusal.hpp"

#include <optional>
#include <string>

namespace chicorylink::gateway {

struct services;

/// @brief Checks a forwarded request against the rules in force here.
/// @return The refusal, or empty when the request is allowed.
[[nodiscard]] std::optional<refusal> check_forwarded(services& deps,
                                                     const forwarded_request& message);

/// @brief Creates the state of a forwarded request that passed `check_forwarded`.
[[nodiscard]] active_request_ptr make_forwarded_request(services& deps,
                                                        const forwarded_request& message,
                                                        std::string body, response_sink sink);

/// @brief Runs a forwarded request in this region.
void run_forwarded(services& deps, const active_request_ptr& entry, forward_purpose purpose);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_FORWARDED_ADMISSION_HPP
