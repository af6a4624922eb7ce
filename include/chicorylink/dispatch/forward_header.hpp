#ifndef CHICORYLINK_DISPATCH_FORWARD_HEADER_HPP
#define CHICORYLINK_DISPATCH_FORWARD_HEADER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/attempt_id.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::dispatch {

/// @brief What stands before the body of a request that one VM hands to another.
///
/// It never holds the caller's credentials: the team stands for them.
struct forward_header {
    /// The attempt of the VM that hands it over; its answer repeats it.
    attempt_id attempt;
    /// Always 1 between VMs; a receiver refuses more and hands nothing on.
    std::uint8_t hops = 1;
    /// Attempts made for the request so far, this one included.
    std::uint8_t attempts = 1;
    /// The rules that it was decided under.
    base::config_version version;
    base::team_id team;
    base::route_id route;
    /// Time left, counted from the receipt.
    base::milliseconds time_left{0};
    /// Whether the caller says that it never sent this request before.
    bool first_attempt = false;
    /// The ticket's text; empty when there is none.
    std::string ticket;
    std::string method;
    /// Path and query for the target.
    std::string path;
    std::string content_type;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_FORWARD_HEADER_HPP
