#ifndef CHICORYLINK_DISPATCH_TICKET_SETTINGS_HPP
#define CHICORYLINK_DISPATCH_TICKET_SETTINGS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstddef>

namespace chicorylink::dispatch {

/// @brief Whose tickets a table issues, and its bounds.
struct ticket_settings {
    base::vm_id self;
    base::incarnation process;
    /// The start of the process; tickets count their times from it.
    base::time_point epoch{};
    /// From issue to the last moment at which the request may be begun.
    base::milliseconds lifetime{120'000};
    /// How much longer the ticket is remembered, for late repeats.
    base::milliseconds retention{600'000};
    /// Tickets issued and not yet forgotten.
    std::size_t capacity = 100'000;
    /// The largest answer body that is kept whole, in bytes.
    std::size_t answer_bytes = 16U << 10U;
    /// All answer bodies together, in bytes.
    std::size_t total_answer_bytes = 32U << 20U;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_SETTINGS_HPP
