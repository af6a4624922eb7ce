#ifndef CHICORYLINK_DISPATCH_TICKET_DECISION_HPP
#define CHICORYLINK_DISPATCH_TICKET_DECISION_HPP

#include "chicorylink/dispatch/outcome.hpp"
#include "chicorylink/dispatch/stored_answer.hpp"

#include <memory>
#include <string_view>

namespace chicorylink::dispatch {

/// @brief What the executor does with a request that carries a ticket.
enum class ticket_verdict {
    /// Run it; the ticket is now held by this attempt.
    run,
    /// It runs at this moment; ask again later.
    in_progress,
    /// Give the stored answer.
    answered,
    /// It may have run; nothing better will be known.
    uncertain,
    /// It did not run with this ticket and never will: take a new ticket.
    voided,
    /// The ticket was never used and may not be begun any more: take a new ticket.
    expired,
    /// The ticket's record was forgotten, or is of another process run.
    forgotten,
    /// The ticket was used for another request.
    mismatch,
};

/// @brief A verdict and the outcome that is true of the request then.
struct ticket_decision {
    ticket_verdict verdict = ticket_verdict::forgotten;
    outcome result = outcome::unknown;
    /// Of `answered` only.
    std::shared_ptr<const stored_answer> answer;
};

/// @brief The stable name of a verdict, for JSON bodies and metrics.
[[nodiscard]] std::string_view to_string(ticket_verdict verdict);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_DECISION_HPP
