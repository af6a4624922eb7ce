#ifndef CHICORYLINK_GATEWAY_HTTP_CALL_HPP
#define CHICORYLINK_GATEWAY_HTTP_CALL_HPP

#include "chicorylink/gateway/exchange.hpp"

#include <chrono>
#include <memory>

#include <microhttpd.h>

namespace chicorylink::gateway {

/// @brief One request as the HTTP library sees it: its connection and how far it was read.
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

/// @brief Queues a whole answer on the call's connection.
MHD_Result queue_answer(MHD_Connection* connection, const http_answer& answer);

/// @brief The refusal of a body above the limit.
/// @param limit In bytes.
[[nodiscard]] http_answer too_large_answer(std::size_t limit);

/// @brief The refusal of a head that two readers could understand differently; it closes the
/// connection, since what follows on it has no certain start.
[[nodiscard]] http_answer ambiguous_head_answer();

/// @brief Whether a head leaves the end of its body in doubt: a length beside a transfer coding,
/// several lengths, or one that is not a plain number.
[[nodiscard]] bool has_ambiguous_length(const header_list& headers);

/// @brief Whether the other side of a socket has closed or reset its connection.
[[nodiscard]] bool is_closed_by_peer(int descriptor);

/// @brief The length of the body that a request announces; zero when it announces none.
[[nodiscard]] std::size_t content_length(const caller_request& request);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_HTTP_CALL_HPP
