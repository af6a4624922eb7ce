#ifndef CHICORYLINK_DISPATCH_TICKET_RULES_HPP
#define CHICORYLINK_DISPATCH_TICKET_RULES_HPP

#include "chicorylink/base/secret.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt_id.hpp"
#include "chicorylink/dispatch/ticket_decision.hpp"
#include "chicorylink/dispatch/ticket_record.hpp"

#include <optional>

namespace chicorylink::dispatch {

/// The record of a ticket; empty when it was never used.
using ticket_slot = std::optional<ticket_record>;

/// @brief How long a ticket may be used for the first time and how long its record is kept.
struct ticket_times {
    /// The first use must come before this time.
    base::time_point begin_before{};
    /// Later than `begin_before`. Until then, a ticket without a record is known to be unused.
    base::time_point discard_at{};
};

/// @brief Decides on a request that carries a ticket of this process run, and assigns the ticket
/// to it when the request is to run.
[[nodiscard]] ticket_decision begin_request(ticket_slot& slot, const ticket_times& times,
                                            const base::digest& request, const attempt_id& holder,
                                            base::time_point now);

/// @brief Records how the attempt that holds a ticket ended.
/// @param response Response of a request that `ran`; null when it was truncated, which leaves the
/// ticket uncertain.
/// @return False when the attempt does not hold the ticket; nothing is changed then.
bool end_request(ticket_slot& slot, const attempt_id& holder, outcome result,
                 std::shared_ptr<const stored_response> response);

/// @brief Voids a ticket that was never used, for example during a drain.
void void_unused(ticket_slot& slot, const ticket_times& times);

/// @brief The outcome that an entry VM may report when it refuses a request that carries a ticket
/// without having contacted the executor.
///
/// Earlier attempts with the same ticket may have run, so `not_run` is reported only to a caller
/// that marks the request as its first attempt.
[[nodiscard]] outcome outcome_of_entry_refusal(bool has_ticket, bool is_first_attempt);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_RULES_HPP
