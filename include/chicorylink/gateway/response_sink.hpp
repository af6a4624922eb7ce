#ifndef CHICORYLINK_GATEWAY_RESPONSE_SINK_HPP
#define CHICORYLINK_GATEWAY_RESPONSE_SINK_HPP

#include "chicorylink/gateway/http_response.hpp"
#include "chicorylink/gateway/refusal.hpp"

#include <functional>
#include <string_view>

namespace chicorylink::gateway {

/// @brief Receives the response to a request and sends it to the caller's connection, or over a
/// peer link to the VM that forwarded the request.
///
/// All functions are set, thread-safe and non-blocking. Exactly one response is sent: a complete
/// one, or a stream that is finished or aborted.
struct response_sink {
    /// Sends a complete response; refusals use it too.
    std::function<void(http_response response, run_outcome outcome)> respond;
    /// Starts a streamed response.
    std::function<void(int status, platform::header_list headers)> begin;
    /// Appends to the stream. Returns false if the caller should wait for `on_room`.
    std::function<bool(std::string_view piece)> append;
    /// Completes the stream.
    std::function<void()> finish;
    /// Aborts the response so that its receiver sees it as incomplete.
    std::function<void()> abort;
    /// Sets the callback for when there is room again after `append` returned false.
    std::function<void(std::function<void()> on_room)> set_on_room;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_RESPONSE_SINK_HPP
