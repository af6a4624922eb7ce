#ifndef CHICORYLINK_DISPATCH_TICKET_DECISION_HPP
#define CHICORYLINK_DISPATCH_TICKET_DECISION_HPP

#include "chicorylink/dispatch/outcome.hpp"
#include "chicorylink/dispatch/stored_response.hpp"

#include <memory>
#include <string_view>

namespace chicorylink::dispatch {

/// @brief What the executor does with a request that carries a ticket.
enum class ticket_verdict {
    /// Run the request; this attempt now holds the ticket.
    run,
    /// The request is running; try again later.
    in_progress,
    /// Return the stored response.
    answered,
    /// The request may have run; this will never be known more exactly.
    uncertain,
    /// The request did not run with this ticket and never will; a new ticket is needed.
    voided,
    /// The ticket was never used and may no longer be used; a new ticket is needed.
    expired,
    /// The ticket's record was discarded, or belongs to another process run.
    forgotten,
    /// The ticket was used for another request.
    mismatch,
};

/// @brief A verdict and the outcome of the request that goes with it.
struct ticket_decision {
    ticket_verdict verdict = ticket_verdict::forgotten;
    outcome result = outcome::unknown;
    /// Set only for `answered`.
    std::shared_ptr<const stored_response> response;
};

/// @brief The stable name of a verdict, for JSON bodies and metrics.
[[nodiscard]] std::string_view to_string(ticket_verdict verdict);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_DECISION_HPP
