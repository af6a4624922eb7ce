#ifndef CHICORYLINK_GATEWAY_HTTP_CALL_HPP
#define CHICORYLINK_GATEWAY_HTTP_CALL_HPP

#include "chicorylink/gateway/exchange.hpp"

#include <chrono>
#include <memory>

#include <microhttpd.h>

namespace chicorylink::gateway {

/// @brief A request in the HTTP library: its connection and how much of it was read.
struct http_call {
    std::shared_ptr<exchange> request;
    MHD_Connection* connection = nullptr;
    std::chrono::steady_clock::time_point started;
    bool head_checked = false;
    bool submitted = false;
    bool body_too_large = false;
    /// Guarded by the server's mutex.
    bool suspended = false;
};

/// @brief Copies method and header fields from the library into the request.
void read_head(http_call& call, const char* method);

/// @brief Queues a complete response on the connection.
MHD_Result queue_response(MHD_Connection* connection, const http_response& response);

/// @brief The refusal of a body larger than the limit.
/// @param limit In bytes.
[[nodiscard]] http_response too_large_response(std::size_t limit);

/// @brief The refusal of a head that two parsers could read differently. It closes the
/// connection, since the start of the next request is uncertain.
[[nodiscard]] http_response ambiguous_head_response();

/// @brief Whether the body's end is ambiguous: a length together with a transfer coding, several
/// lengths, one that is not a plain number, or a header name with a blank.
[[nodiscard]] bool has_ambiguous_length(const header_list& headers);

/// @brief Whether the other side of a socket has closed or reset its connection.
[[nodiscard]] bool is_closed_by_peer(int descriptor);

/// @brief The `Content-Length` of a request in bytes; zero if it has none.
[[nodiscard]] std::size_t content_length(const caller_request& request);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_HTTP_CALL_HPP
