#ifndef CHICORYLINK_GATEWAY_REQUEST_READING_HPP
#define CHICORYLINK_GATEWAY_REQUEST_READING_HPP

#include "chicorylink/gateway/active_request.hpp"
#include "chicorylink/gateway/caller_request.hpp"
#include "chicorylink/gateway/identity.hpp"
#include "chicorylink/gateway/refusal.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::rules {
class rulebook;
struct route;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

struct services;

inline constexpr std::string_view chat_path = "/v1/chat/completions";
inline constexpr std::string_view ticket_header = "x-chicorylink-ticket";
inline constexpr std::string_view try_header = "x-chicorylink-try";

/// @brief The name of the plain service in a path: its first segment.
[[nodiscard]] std::string service_name(std::string_view path);

/// @brief The route of this name; null when there is none or it is of another kind.
[[nodiscard]] const rules::route* find_route(const rules::rulebook& book, std::string_view name,
                                             rules::route_kind kind);

/// @brief A new correlation id, made of the incarnation and a counter.
[[nodiscard]] std::string next_correlation_id(services& deps);

/// @brief Sets the fields common to all requests, once route and content are known.
void prepare(services& deps, active_request& entry, const rules::route& route,
             base::time_point deadline);

/// @brief Fills in the entry from a caller's request, without anything that a target must not see.
/// @return The refusal, or empty when the request is valid.
[[nodiscard]] std::optional<refusal> read_request(services& deps, const rules::rulebook& book,
                                                  active_request& entry,
                                                  const caller_request& request,
                                                  const identity& caller);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_REQUEST_READING_HPP
