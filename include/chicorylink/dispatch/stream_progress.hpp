#ifndef CHICORYLINK_DISPATCH_STREAM_PROGRESS_HPP
#define CHICORYLINK_DISPATCH_STREAM_PROGRESS_HPP

#include "chicorylink/dispatch/attempt_id.hpp"

#include <cstdint>

namespace chicorylink::dispatch {

/// @brief What to do with a token of a streamed answer.
enum class token_verdict {
    pass_on,
    /// It was passed on before, or belongs to an abandoned attempt.
    drop,
    /// A token before it is missing: the answer must be broken off visibly.
    gap,
};

/// @brief How a streamed answer goes on after its attempt was lost.
enum class resume_verdict {
    /// Nothing was passed on: the request may be started afresh.
    restart,
    /// Ask for the answer from `next_token` on.
    resume,
    /// The answer must be broken off visibly.
    break_off,
};

/// @brief Which tokens of a streamed answer the caller has been given.
struct stream_progress {
    /// The attempt whose tokens are taken.
    attempt_id source;
    /// The token that the caller is to be given next, counted from 0.
    std::uint64_t next_token = 0;
    /// Whether the end marker was passed on.
    bool ended = false;
};

/// @brief Decides on a token and counts it when it is passed on.
[[nodiscard]] token_verdict take_token(stream_progress& progress, const attempt_id& source,
                                       std::uint64_t position);

/// @brief Decides on the end marker; only the whole answer of the present attempt ends cleanly.
/// @param length Tokens of the whole answer by the engine's account; the position after the last.
[[nodiscard]] token_verdict take_end(stream_progress& progress, const attempt_id& source,
                                     std::uint64_t length);

/// @brief Goes over to another attempt after the present one was lost.
/// @param can_resume Whether the engine gives an answer from a token on.
[[nodiscard]] resume_verdict resume_with(stream_progress& progress, const attempt_id& next,
                                         bool can_resume);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_STREAM_PROGRESS_HPP
