#ifndef CHICORYLINK_DISPATCH_ATTEMPT_HPP
#define CHICORYLINK_DISPATCH_ATTEMPT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt_id.hpp"
#include "chicorylink/dispatch/outcome.hpp"

#include <optional>

namespace chicorylink::dispatch {

/// @brief How far one attempt has come, towards a target or towards another VM.
enum class attempt_state {
    created,
    queued,
    connecting,
    /// A byte of the request may have left. Entered before the first write.
    possibly_sent,
    /// The status line has arrived.
    answering,
    /// The whole answer has arrived.
    complete,
    /// Ended in another way; `attempt::ended` tells the outcome.
    ended,
};

/// @brief What happens to an attempt.
enum class attempt_event {
    /// Waits for a slot.
    enqueue,
    connect,
    /// The first byte is about to be written; must be applied before the write.
    write,
    answer_begun,
    answer_complete,
    /// The connection failed or was lost.
    lost,
    /// The deadline passed.
    timed_out,
    /// The caller left or its key was withdrawn.
    cancelled,
    /// The VM that it was handed to answered that nothing has reached a target and nothing will.
    proved_not_run,
    /// The VM that it was handed to answered that a target has begun to answer.
    proved_ran,
};

/// @brief One try to have a request run.
struct attempt {
    attempt_id id;
    attempt_state state = attempt_state::created;
    base::time_point deadline{};
    /// Set once the attempt is over.
    std::optional<outcome> result;
};

/// @brief Applies an event.
/// @return False when the event does not fit the state; the attempt is unchanged then. An event
/// for an attempt that is over is late and is to be dropped.
bool apply(attempt& subject, attempt_event event);

/// @brief Enters `possibly_sent` unless the deadline has passed.
/// @return Whether the first byte may be written. Otherwise the attempt ended as `not_run`. A
/// process that was paused before the write learns it here.
[[nodiscard]] bool begin_write(attempt& subject, base::time_point now);

/// @brief The outcome if nothing more were ever heard of the attempt.
[[nodiscard]] outcome outcome_if_lost(const attempt& subject);

/// @brief Whether the attempt is over.
[[nodiscard]] inline bool is_over(const attempt& subject)
{
    return subject.result.has_value();
}

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ATTEMPT_HPP
