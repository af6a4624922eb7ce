#ifndef CHICORYLINK_GATEWAY_CREDENTIALS_HPP
#define CHICORYLINK_GATEWAY_CREDENTIALS_HPP

#include "chicorylink/gateway/caller_request.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::gateway {

/// @brief All distinct keys that a request presents: in `Authorization: Bearer`, in `X-Api-Key`,
/// in the query parameter `api_key` and in the cookie `api_key`, names in any case.
[[nodiscard]] std::vector<std::string> presented_keys(const caller_request& request);

/// @brief The header fields that a target may see. A field passes when its name is on the list of
/// known harmless ones and no key is part of its value.
[[nodiscard]] header_list target_headers(const header_list& headers,
                                         const std::vector<std::string>& keys);

/// @brief The query without credentials: parameters named `api_key`, and those that hold a key.
[[nodiscard]] std::string target_query(std::string_view query,
                                       const std::vector<std::string>& keys);

/// @brief Whether any key is part of the text, plain or percent-encoded.
[[nodiscard]] bool holds_key(std::string_view text, const std::vector<std::string>& keys);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CREDENTIALS_HPP
