#ifndef CHICORYLINK_GATEWAY_ADMISSION_HPP
#define CHICORYLINK_GATEWAY_ADMISSION_HPP

#include "chicorylink/gateway/exchange.hpp"

#include <memory>
#include <optional>

namespace chicorylink::gateway {

struct services;

/// @brief Checks a caller's request by its headers, before its body is read: key, region, route and
/// whether this VM accepts requests at all.
/// @return The response that ends the request, or empty to continue reading it.
[[nodiscard]] std::optional<http_response> check_head(services& deps, const caller_request& head);

/// @brief Handles a completely read request of a caller; every request gets a response.
void accept(services& deps, const std::shared_ptr<exchange>& request);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_ADMISSION_HPP
