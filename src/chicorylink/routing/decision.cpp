#include "chicorylink/routing/decision.hpp"

namespace chicorylink::routing {

std::string_view to_string(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::none:
        return "none";
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::region_not_allowed:
        return "region_not_allowed";
    case refusal_reason::deadline:
        return "deadline";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::team_queue_full:
        return "team_queue_full";
    case refusal_reason::brown_out:
        return "brown_out";
    }
    return "unknown";
}

} // namespace chicorylink::routing
