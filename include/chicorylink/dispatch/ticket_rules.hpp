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

/// @brief When a ticket may be begun and how long its record is kept.
struct ticket_times {
    /// The first use must come before.
    base::time_point begin_before{};
    /// Later than `begin_before`: a ticket without a record is known to be unused until then.
    base::time_point forget_at{};
};

/// @brief Decides on a request that came with a ticket of this process run, and takes the ticket
/// for it when it is to run.
[[nodiscard]] ticket_decision begin_request(ticket_slot& slot, const ticket_times& times,
                                            const base::digest& request, const attempt_id& holder,
                                            base::time_point now);

/// @brief Notes how the attempt that holds a ticket ended.
/// @param answer Of `ran`; null when the answer was cut off, which leaves the ticket uncertain.
/// @return False when the attempt does not hold the ticket; nothing is changed then.
bool end_request(ticket_slot& slot, const attempt_id& holder, outcome result,
                 std::shared_ptr<const stored_answer> answer);

/// @brief Bars a ticket that was never used from being used, as a drain does.
void bar(ticket_slot& slot, const ticket_times& times);

/// @brief The outcome that an entry VM may state when it refuses a request that carries a ticket
/// without having asked the executor.
///
/// Earlier attempts with the same ticket may have run, so only a caller that says this is its
/// first attempt is told `not_run`.
[[nodiscard]] outcome outcome_of_entry_refusal(bool has_ticket, bool is_first_attempt);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_RULES_HPP
