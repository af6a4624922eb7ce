#ifndef CHICORYLINK_DISPATCH_TICKET_SETTINGS_HPP
#define CHICORYLINK_DISPATCH_TICKET_SETTINGS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstddef>

namespace chicorylink::dispatch {

/// @brief Identity of the VM and process that issue tickets, and limits of the ticket table.
struct ticket_settings {
    base::vm_id self;
    base::incarnation process;
    /// The start of the process; times in tickets are relative to it.
    base::time_point epoch{};
    /// Time from issue during which the request may be started.
    base::milliseconds lifetime{120'000};
    /// How long the ticket is kept after its lifetime, for late repeats.
    base::milliseconds retention{600'000};
    /// Maximum tickets issued and not yet discarded.
    std::size_t capacity = 100'000;
    /// Maximum size of a response body that is kept, in bytes.
    std::size_t response_bytes = 16U << 10U;
    /// Maximum size of all kept response bodies together, in bytes.
    std::size_t total_response_bytes = 32U << 20U;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_SETTINGS_HPP
