#ifndef CHICORYLINK_DISPATCH_STREAM_PROGRESS_HPP
#define CHICORYLINK_DISPATCH_STREAM_PROGRESS_HPP

#include "chicorylink/dispatch/attempt_id.hpp"

#include <cstdint>

namespace chicorylink::dispatch {

/// @brief What to do with a token of a streamed response.
enum class token_verdict {
    pass_on,
    /// It was already passed on, or belongs to an abandoned attempt.
    drop,
    /// An earlier token is missing: the response must be aborted in a way the caller notices.
    gap,
};

/// @brief How a streamed response continues after its attempt was lost.
enum class resume_verdict {
    /// Nothing was passed on: the request may be started again.
    restart,
    /// Request the response from `next_token` on.
    resume,
    /// The response must be aborted in a way the caller notices.
    abort_response,
};

/// @brief Which tokens of a streamed response were passed on to the caller.
struct stream_progress {
    /// The attempt whose tokens are accepted.
    attempt_id source;
    /// Index of the next token to pass on, from 0.
    std::uint64_t next_token = 0;
    /// Whether the end marker was passed on.
    bool ended = false;
};

/// @brief Decides what to do with a token and counts it when it is passed on.
[[nodiscard]] token_verdict take_token(stream_progress& progress, const attempt_id& source,
                                       std::uint64_t position);

/// @brief Decides on the end marker; only a complete response of the current attempt ends cleanly.
/// @param length Tokens of the whole response as reported by the engine.
[[nodiscard]] token_verdict take_end(stream_progress& progress, const attempt_id& source,
                                     std::uint64_t length);

/// @brief Switches to another attempt after the current one was lost.
/// @param can_resume Whether the engine can continue a response from a given token.
[[nodiscard]] resume_verdict resume_with(stream_progress& progress, const attempt_id& next,
                                         bool can_resume);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_STREAM_PROGRESS_HPP
