#ifndef CHICORYLINK_DISPATCH_TICKET_HPP
#define CHICORYLINK_DISPATCH_TICKET_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/strong.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/ticket_keys.hpp"

#include <compare>
#include <string>
#include <string_view>

namespace chicorylink::dispatch {

struct ticket_number_tag;

/// Sequence number of a ticket within one process run.
using ticket_number = base::strong_id<ticket_number_tag>;

/// @brief Permits one process run to run one request of a team and route once.
struct ticket {
    base::team_id team;
    base::route_id route;
    /// The only VM that may run the request, together with its process run.
    base::vm_id executor;
    base::incarnation process;
    ticket_number number;
    /// The request must start before this time, in milliseconds since the executor's epoch on its
    /// monotonic clock.
    base::milliseconds begin_before{0};

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

/// @brief Encodes the ticket and its MAC as text that is safe in an HTTP header.
[[nodiscard]] std::string to_text(const ticket& value, const ticket_keys& keys);

/// @brief Parses a ticket and verifies its MAC with the current or the previous key.
/// @return `not_allowed` when the text is not a ticket or its MAC is wrong.
[[nodiscard]] base::result<ticket> ticket_from_text(std::string_view text, const ticket_keys& keys);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_HPP
