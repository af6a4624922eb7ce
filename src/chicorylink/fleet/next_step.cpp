#include "chicorylink/fleet/next_step.hpp"

namespace chicorylink::fleet {

next_step give_up(const attempt_history& history, attempt_end end)
{
    if (history.has_begun) {
        return next_step::abort_stream;
    }
    if (end == attempt_end::failed) {
        return next_step::pass_response;
    }
    return history.runs == 0 ? next_step::refuse : next_step::fail;
}

next_step decide_next(const route& request_route, const attempt_history& history, attempt_end end,
                      base::milliseconds time_left)
{
    if (history.has_begun && !history.can_continue) {
        return give_up(history, end);
    }
    if (time_left < min_attempt_time || history.arrivals >= max_arrivals ||
        history.sends >= max_sends) {
        return give_up(history, end);
    }
    const bool ran = end == attempt_end::failed || end == attempt_end::unknown;
    if (ran && (history.from_peer || !may_retry(request_route))) {
        return give_up(history, end);
    }
    if (end == attempt_end::failed && request_route.kind == request_kind::stream) {
        // An engine that answered with its own error would do so again.
        return give_up(history, end);
    }
    if (history.runs >= request_route.max_attempts && history.runs > 0) {
        return give_up(history, end);
    }
    return next_step::send_again;
}

} // namespace chicorylink::fleet
