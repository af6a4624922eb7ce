#ifndef CHICORYLINK_DISPATCH_TICKET_KEYS_HPP
#define CHICORYLINK_DISPATCH_TICKET_KEYS_HPP

#include <string>

namespace chicorylink::dispatch {

/// @brief The secret keys that sign tickets, the same on all VMs.
///
/// To rotate: make the new key `current` and the old key `previous` on all VMs; remove the old key
/// once its tickets have expired.
struct ticket_keys {
    std::string current;
    /// Empty when there is none.
    std::string previous;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_KEYS_HPP
