#include "chicorylink/dispatch/attempt.hpp"

namespace chicorylink::dispatch {
namespace {

bool advance(attempt& current, attempt_state next)
{
    current.state = next;
    return true;
}

bool end(attempt& current, attempt_state last, outcome result)
{
    current.state = last;
    current.result = result;
    return true;
}

bool is_unsent(attempt_state state)
{
    return state == attempt_state::created || state == attempt_state::queued ||
           state == attempt_state::connecting;
}

} // namespace

bool apply(attempt& current, attempt_event event)
{
    if (is_finished(current)) {
        return false;
    }
    const auto state = current.state;
    switch (event) {
    case attempt_event::enqueue:
        return state == attempt_state::created && advance(current, attempt_state::queued);
    case attempt_event::connect:
        return (state == attempt_state::created || state == attempt_state::queued) &&
               advance(current, attempt_state::connecting);
    case attempt_event::write:
        return is_unsent(state) && advance(current, attempt_state::possibly_sent);
    case attempt_event::response_begun:
        return state == attempt_state::possibly_sent && advance(current, attempt_state::responding);
    case attempt_event::response_complete:
        return state == attempt_state::responding &&
               end(current, attempt_state::complete, outcome::ran);
    case attempt_event::lost:
    case attempt_event::timed_out:
    case attempt_event::cancelled:
        return end(current, attempt_state::ended, outcome_if_lost(current));
    case attempt_event::confirmed_not_run:
        return state == attempt_state::possibly_sent &&
               end(current, attempt_state::ended, outcome::not_run);
    case attempt_event::confirmed_ran:
        return state == attempt_state::possibly_sent &&
               end(current, attempt_state::ended, outcome::ran);
    }
    return false;
}

bool begin_write(attempt& current, base::time_point now)
{
    if (now >= current.deadline) {
        apply(current, attempt_event::timed_out);
        return false;
    }
    return apply(current, attempt_event::write);
}

outcome outcome_if_lost(const attempt& current)
{
    if (current.result) {
        return *current.result;
    }
    if (is_unsent(current.state)) {
        return outcome::not_run;
    }
    return current.state == attempt_state::possibly_sent ? outcome::unknown : outcome::ran;
}

} // namespace chicorylink::dispatch
