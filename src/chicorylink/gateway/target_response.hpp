#ifndef CHICORYLINK_GATEWAY_TARGET_RESPONSE_HPP
#define CHICORYLINK_GATEWAY_TARGET_RESPONSE_HPP

#include "chicorylink/gateway/active_request.hpp"
#include "chicorylink/gateway/http_response.hpp"
#include "chicorylink/platform/http_end.hpp"

#include <cstddef>
#include <string_view>

namespace chicorylink::gateway {

/// Functions for the response of a target to the current attempt. The caller holds the request's
/// lock.

/// @brief Clears the response state of an earlier attempt.
void reset_response(active_request& entry);

/// @brief Reads the response's status and header fields. A response with another request's
/// correlation id counts as mismatched and is never delivered.
void take_head(active_request& entry, int status, const header_list& headers);

/// @brief Reads a piece of the response's body; complete events of a stream are delivered at once.
/// @return False when the response exceeds its size limit.
bool take_piece(active_request& entry, std::string_view piece, std::size_t max_bytes);

/// @brief What to do with a response whose call ended.
struct response_verdict {
    /// The response arrived completely and belongs to the request.
    bool is_complete = false;
    /// Deliver the response to the caller; otherwise the attempt failed.
    bool pass_on = false;
    run_outcome outcome = run_outcome::unknown;
    http_response response;
};

/// @brief Evaluates the response at the end of its call.
[[nodiscard]] response_verdict evaluate_response(active_request& entry,
                                                 const platform::http_end& end);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_TARGET_RESPONSE_HPP
