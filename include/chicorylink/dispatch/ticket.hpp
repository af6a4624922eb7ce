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

/// Counts the tickets of one process run.
using ticket_number = base::strong_id<ticket_number_tag>;

/// @brief The right to have one request of a team and route run once, by one process run.
struct ticket {
    base::team_id team;
    base::route_id route;
    /// The VM and its process run that alone may run the request.
    base::vm_id executor;
    base::incarnation process;
    ticket_number number;
    /// Until when the request may be begun, by the executor's monotonic clock, since its epoch.
    base::milliseconds begin_before{0};

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

/// @brief The ticket as text that is safe in an HTTP header, with its MAC.
[[nodiscard]] std::string to_text(const ticket& value, const ticket_keys& keys);

/// @brief Reads a ticket and checks its MAC under the current and the previous key.
/// @return `not_allowed` when the text is no ticket or its MAC is wrong.
[[nodiscard]] base::result<ticket> ticket_from_text(std::string_view text, const ticket_keys& keys);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_HPP
