#ifndef CHICORYLINK_DISPATCH_TICKET_RECORD_HPP
#define CHICORYLINK_DISPATCH_TICKET_RECORD_HPP

#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt_id.hpp"
#include "chicorylink/dispatch/stored_response.hpp"

#include <memory>

namespace chicorylink::dispatch {

/// @brief State of a used ticket, as recorded by its executor.
enum class ticket_state {
    in_progress,
    /// A target has responded.
    done,
    /// The request may have run; this will never be known more exactly.
    uncertain,
    /// The request did not run and never will.
    voided,
};

/// @brief The record of one used ticket. A ticket without a record was never used.
struct ticket_record {
    ticket_state state = ticket_state::in_progress;
    base::digest request_digest{};
    /// The attempt that holds the ticket while in progress.
    attempt_id holder;
    base::time_point discard_at{};
    /// Set only for `done`.
    std::shared_ptr<const stored_response> response;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_RECORD_HPP
