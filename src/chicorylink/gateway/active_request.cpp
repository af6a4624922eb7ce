#include "chicorylink/gateway/active_request.hpp"

namespace chicorylink::gateway {
namespace {

/// Time limit for another attempt to resume a lost stream.
constexpr base::milliseconds resume_timeout{10'000};

/// The combined outcome of two attempts of one request.
dispatch::outcome combine(dispatch::outcome a, dispatch::outcome b)
{
    if (a == dispatch::outcome::ran || b == dispatch::outcome::ran) {
        return dispatch::outcome::ran;
    }
    if (a == dispatch::outcome::unknown || b == dispatch::outcome::unknown) {
        return dispatch::outcome::unknown;
    }
    return dispatch::outcome::not_run;
}

} // namespace

dispatch::outcome outcome_so_far(const active_request& entry)
{
    return combine(entry.earlier_outcome, dispatch::outcome_if_lost(entry.current_attempt));
}

base::time_point attempt_deadline(const active_request& entry, base::time_point now)
{
    return entry.phase == request_phase::responding ? now + resume_timeout : entry.deadline;
}

dispatch::attempt_id next_attempt(active_request& entry, base::incarnation process,
                                  base::time_point now)
{
    entry.earlier_outcome = outcome_so_far(entry);
    ++entry.attempts;
    constexpr unsigned attempt_bits = 8;
    const auto counter = (entry.id.value() << attempt_bits) | entry.attempts;
    entry.current_attempt = {.id = {process, counter}, .deadline = attempt_deadline(entry, now)};
    dispatch::apply(entry.current_attempt, dispatch::attempt_event::connect);
    // A stream is resumed only when the target confirms it; see `take_head`.
    static_cast<void>(dispatch::resume_with(entry.progress, entry.current_attempt.id, true));
    entry.attempt_started = now;
    return entry.current_attempt.id;
}

bool is_current(const active_request& entry, const dispatch::attempt_id& attempt)
{
    return entry.current_attempt.id == attempt && entry.phase != request_phase::done;
}

} // namespace chicorylink::gateway
