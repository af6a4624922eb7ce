#include "chicorylink/dispatch/ticket_decision.hpp"

namespace chicorylink::dispatch {

std::string_view to_string(ticket_verdict verdict)
{
    switch (verdict) {
    case ticket_verdict::run:
        return "run";
    case ticket_verdict::in_progress:
        return "in_progress";
    case ticket_verdict::answered:
        return "answered";
    case ticket_verdict::uncertain:
        return "uncertain";
    case ticket_verdict::voided:
        return "voided";
    case ticket_verdict::expired:
        return "expired";
    case ticket_verdict::forgotten:
        return "forgotten";
    case ticket_verdict::mismatch:
        return "mismatch";
    }
    return "unknown";
}

} // namespace chicorylink::dispatch
