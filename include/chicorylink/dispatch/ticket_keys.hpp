#ifndef CHICORYLINK_DISPATCH_TICKET_KEYS_HPP
#define CHICORYLINK_DISPATCH_TICKET_KEYS_HPP

#include <string>

namespace chicorylink::dispatch {

/// @brief The secrets that tickets are signed with, the same on all VMs.
///
/// To change them: make the new one `current` and the old one `previous` on all VMs; drop the old
/// one once its tickets have expired.
struct ticket_keys {
    std::string current;
    /// Empty when there is none.
    std::string previous;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_TICKET_KEYS_HPP
