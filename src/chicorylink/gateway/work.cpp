#include "chicorylink/gateway/work.hpp"

namespace chicorylink::gateway {
namespace {

/// How long another attempt may take to go on with a stream that was lost.
constexpr base::milliseconds resume_time{10'000};

/// What is known after two attempts of one request.
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

dispatch::outcome outcome_so_far(const work& entry)
{
    return combine(entry.earlier, dispatch::outcome_if_lost(entry.present));
}

base::time_point attempt_deadline(const work& entry, base::time_point now)
{
    return entry.phase == work_phase::answering ? now + resume_time : entry.deadline;
}

dispatch::attempt_id next_attempt(work& entry, base::incarnation process, base::time_point now)
{
    entry.earlier = outcome_so_far(entry);
    ++entry.attempts;
    constexpr unsigned attempt_bits = 8;
    const auto counter = (entry.id.value() << attempt_bits) | entry.attempts;
    entry.present = {.id = {process, counter}, .deadline = attempt_deadline(entry, now)};
    dispatch::apply(entry.present, dispatch::attempt_event::connect);
    // A stream goes on only when the target says that it does; see `take_head`.
    static_cast<void>(dispatch::resume_with(entry.progress, entry.present.id, true));
    entry.attempt_started = now;
    return entry.present.id;
}

bool is_current(const work& entry, const dispatch::attempt_id& attempt)
{
    return entry.present.id == attempt && entry.phase != work_phase::done;
}

} // namespace chicorylink::gateway
