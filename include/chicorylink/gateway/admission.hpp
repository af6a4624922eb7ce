#ifndef CHICORYLINK_GATEWAY_ADMISSION_HPP
#define CHICORYLINK_GATEWAY_ADMISSION_HPP

#include "chicorylink/gateway/exchange.hpp"

#include <memory>
#include <optional>

namespace chicorylink::gateway {

struct services;

/// @brief Decides on a caller's request by its headers, before its body is read: key, region and
/// whether this VM takes work at all.
/// @return The answer that ends the request, or empty to read on.
[[nodiscard]] std::optional<http_answer> check_head(services& all, const caller_request& head);

/// @brief Takes a caller's whole request and sees to its answer.
void accept(services& all, const std::shared_ptr<exchange>& request);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_ADMISSION_HPP
