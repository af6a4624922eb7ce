#ifndef CHICORYLINK_PLATFORM_HTTP_HANDLERS_HPP
#define CHICORYLINK_PLATFORM_HTTP_HANDLERS_HPP

#include "chicorylink/platform/http_end.hpp"
#include "chicorylink/platform/http_request.hpp"

#include <functional>
#include <string_view>

namespace chicorylink::platform {

/// @brief Callbacks of a call; all run on the client's thread and must not block.
///
/// Callbacks that are not set are skipped. `on_end` is called exactly once, last.
struct http_handlers {
    /// Called after the connection is made and before the first byte of the request is written.
    /// Returning false cancels the call before anything is sent.
    std::function<bool()> on_sending;
    /// Called once with the final status and the header fields, names in lower case.
    std::function<void(int status, const header_list& headers)> on_head;
    /// Called with each piece of the body. Returning false pauses the call; the same piece is
    /// delivered again after `http_client::resume`.
    std::function<bool(std::string_view piece)> on_data;
    std::function<void(const http_end& end)> on_end;
};

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HTTP_HANDLERS_HPP
