#ifndef CHICORYLINK_GATEWAY_CALLER_REQUEST_HPP
#define CHICORYLINK_GATEWAY_CALLER_REQUEST_HPP

#include "chicorylink/platform/http_request.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace chicorylink::gateway {

using platform::header_list;

/// @brief A caller's HTTP request; the body is empty until it has been read.
struct caller_request {
    std::string method;
    /// As received: percent-encoded, without the query.
    std::string path;
    /// As received, without the question mark.
    std::string query;
    /// Names in lower case; a repeated field has one entry per occurrence.
    header_list headers;
    std::string body;
    /// Hash of the caller's IP address.
    std::uint64_t caller_hash = 0;
};

/// @brief The first value of a header field; empty when it is absent.
/// @param name In lower case.
[[nodiscard]] std::string_view find_header(const header_list& headers, std::string_view name);

/// @brief Decodes percent-encoding and, as in queries, plus signs.
[[nodiscard]] std::string decode_url(std::string_view text);

/// @brief The decoded value of a query parameter; empty when it is absent.
[[nodiscard]] std::string find_parameter(std::string_view query, std::string_view name);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CALLER_REQUEST_HPP
