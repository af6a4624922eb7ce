#ifndef CHICORYLINK_ROUTING_REQUEST_HPP
#define CHICORYLINK_ROUTING_REQUEST_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/prefix.hpp"
#include "chicorylink/rules/route.hpp"

#include <cstdint>
#include <vector>

namespace chicorylink::routing {

struct request_tag;

/// The identity of one request at this VM.
using request_id = base::strong_id<request_tag>;

/// @brief The routing metadata of one request; contains none of its text.
struct request {
    request_id id;
    base::team_id team;
    base::route_id route;
    rules::priority order = rules::priority::normal;
    /// Estimated prompt length.
    base::tokens prompt_tokens;
    /// Upper bound or estimate of the response length.
    base::tokens answer_tokens;
    /// Size of the request body, for the cost of forwarding.
    base::bytes body{};
    prompt_prefix prefix;
    base::time_point deadline{};
    /// 0 at the VM that the caller contacted, 1 after a forward. Hop 1 is never forwarded again.
    std::uint8_t hop = 0;
    /// Whether the request must run here for another reason, such as a ticket for this VM.
    bool pinned = false;
    /// Targets used by earlier attempts; reused only if no other target is left.
    std::vector<base::target_id> tried;
    /// Regions whose VMs refused the request or were unreachable; never chosen again.
    std::vector<base::region_id> tried_regions;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_REQUEST_HPP
