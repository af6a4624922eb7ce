#ifndef CHICORYLINK_DISPATCH_ATTEMPT_HPP
#define CHICORYLINK_DISPATCH_ATTEMPT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt_id.hpp"
#include "chicorylink/dispatch/outcome.hpp"

#include <optional>

namespace chicorylink::dispatch {

/// @brief Progress of one attempt, sent to a target or to another VM.
enum class attempt_state {
    created,
    queued,
    connecting,
    /// A byte of the request may have been sent. Entered before the first write.
    possibly_sent,
    /// The status line of the response has arrived.
    responding,
    /// The whole response has arrived.
    complete,
    /// Ended in another way; `attempt::result` holds the outcome.
    ended,
};

/// @brief An event that changes the state of an attempt.
enum class attempt_event {
    /// The attempt waits for a slot.
    enqueue,
    connect,
    /// The first byte is about to be written; must be applied before the write.
    write,
    response_begun,
    response_complete,
    /// The connection failed or was lost.
    lost,
    /// The deadline passed.
    timed_out,
    /// The caller disconnected or its key was revoked.
    cancelled,
    /// The VM that it was forwarded to reported that nothing reached a target and nothing will.
    confirmed_not_run,
    /// The VM that it was forwarded to reported that a target has started to respond.
    confirmed_ran,
};

/// @brief One attempt to run a request.
struct attempt {
    attempt_id id;
    attempt_state state = attempt_state::created;
    base::time_point deadline{};
    /// Set once the attempt is over.
    std::optional<outcome> result;
};

/// @brief Applies an event.
/// @return False when the event is not valid in the current state; the attempt is unchanged then.
/// An event for a finished attempt is late and must be ignored.
bool apply(attempt& current, attempt_event event);

/// @brief Enters `possibly_sent` unless the deadline has passed.
/// @return Whether the first byte may be written. Otherwise the attempt has ended as `not_run`.
/// Catches a process that was paused past the deadline before the write.
[[nodiscard]] bool begin_write(attempt& current, base::time_point now);

/// @brief The outcome if no further event of the attempt arrives.
[[nodiscard]] outcome outcome_if_lost(const attempt& current);

/// @brief Whether the attempt has an outcome.
[[nodiscard]] inline bool is_finished(const attempt& current)
{
    return current.result.has_value();
}

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ATTEMPT_HPP
