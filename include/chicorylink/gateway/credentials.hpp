#ifndef CHICORYLINK_GATEWAY_CREDENTIALS_HPP
#define CHICORYLINK_GATEWAY_CREDENTIALS_HPP

#include "chicorylink/gateway/caller_request.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::gateway {

/// @brief All distinct keys in a request: in `Authorization: Bearer`, in `X-Api-Key`,
/// in the query parameter `api_key` and in the cookie `api_key`, names in any case.
[[nodiscard]] std::vector<std::string> presented_keys(const caller_request& request);

/// @brief The header fields that are forwarded to a target: those whose name is on the allowlist
/// and whose value contains no key.
[[nodiscard]] header_list target_headers(const header_list& headers,
                                         const std::vector<std::string>& keys);

/// @brief The query without credentials: omits parameters named `api_key` and those that contain a
/// key.
[[nodiscard]] std::string target_query(std::string_view query,
                                       const std::vector<std::string>& keys);

/// @brief Whether the text contains any key, plain or percent-encoded.
[[nodiscard]] bool contains_key(std::string_view text, const std::vector<std::string>& keys);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CREDENTIALS_HPP
