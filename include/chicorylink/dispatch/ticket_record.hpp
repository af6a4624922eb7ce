#ifndef CHICORYLINK_DISPATCH_TICKET_RECORD_HPP
#define CHICORYLINK_DISPATCH_TICKET_RECORD_HPP

#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt_id.hpp"
#include "chicorylink/dispatch/stored_answer.hpp"

#include <memory>

namespace chicorylink::dispatch {

/// @brief What an executor remembers of a ticket that was used.
enum class ticket_state {
    in_progress,
    /// A target has answered.
    done,
    /// The request may have run; nothing better will be known.
    uncertain,
    /// It did not run and never will.
    voided,
};

/// @brief The memory of one used ticket. A ticket without a record was never used.
struct ticket_record {
    ticket_state state = ticket_state::in_progress;
    base::digest request_digest{};
    /// The attempt that holds the ticket while in progress.
    attempt_id holder;
    base::time_point forget_at{};
    /// Of `done` only.
    std::shared_ptr<const stored_answer> answer;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_RECORD_HPP
