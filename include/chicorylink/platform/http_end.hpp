#ifndef CHICORYLINK_PLATFORM_HTTP_END_HPP
#define CHICORYLINK_PLATFORM_HTTP_END_HPP

#include <string>
#include <string_view>

namespace chicorylink::platform {

/// @brief How an HTTP call ended.
enum class http_end_kind {
    /// The complete response arrived.
    complete,
    /// The address refused the connection: no process listens there.
    refused,
    /// Connecting failed for another reason.
    not_connected,
    /// The connection was lost before the complete response arrived.
    broken,
    timed_out,
    /// `http_client::cancel` was called, or a handler stopped the call.
    cancelled,
};

/// @brief The stable name of a kind, for logs.
[[nodiscard]] std::string_view to_string(http_end_kind kind);

/// @brief The outcome of a call.
struct http_end {
    http_end_kind kind = http_end_kind::complete;
    /// Whether any byte of the request may have been sent. When false, the call was not executed.
    bool possibly_sent = false;
    /// Error text for logs and error messages, mostly from libcurl.
    std::string detail;
};

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HTTP_END_HPP
