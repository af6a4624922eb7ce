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

/// @brief What routing knows of one request. Holds nothing of its text.
struct request {
    request_id id;
    base::team_id team;
    base::route_id route;
    rules::priority order = rules::priority::normal;
    /// Estimate of the prompt's length.
    base::tokens prompt_tokens;
    /// Upper bound or estimate of the answer's length.
    base::tokens answer_tokens;
    /// Size of the request's body, for the cost of a forward.
    base::bytes body{};
    prompt_prefix prefix;
    base::time_point deadline{};
    /// 0 at the VM that the caller asked, 1 after a forward. A request of hop 1 never leaves.
    std::uint8_t hop = 0;
    /// Whether the request must run here for another reason, such as a ticket that names this VM.
    bool pinned = false;
    /// Targets that earlier attempts used; they are chosen again only when no other is left.
    std::vector<base::target_id> tried;
    /// Regions whose VMs refused the request or could not be reached; they are not chosen again.
    std::vector<base::region_id> tried_regions;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_REQUEST_HPP
