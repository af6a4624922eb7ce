#include "chicorylink/dispatch/attempt.hpp"

namespace chicorylink::dispatch {
namespace {

bool advance(attempt& subject, attempt_state next)
{
    subject.state = next;
    return true;
}

bool end(attempt& subject, attempt_state last, outcome result)
{
    subject.state = last;
    subject.result = result;
    return true;
}

bool is_unsent(attempt_state state)
{
    return state == attempt_state::created || state == attempt_state::queued ||
           state == attempt_state::connecting;
}

} // namespace

bool apply(attempt& subject, attempt_event event)
{
    if (is_over(subject)) {
        return false;
    }
    const auto state = subject.state;
    switch (event) {
    case attempt_event::enqueue:
        return state == attempt_state::created && advance(subject, attempt_state::queued);
    case attempt_event::connect:
        return (state == attempt_state::created || state == attempt_state::queued) &&
               advance(subject, attempt_state::connecting);
    case attempt_event::write:
        return is_unsent(state) && advance(subject, attempt_state::possibly_sent);
    case attempt_event::answer_begun:
        return state == attempt_state::possibly_sent && advance(subject, attempt_state::answering);
    case attempt_event::answer_complete:
        return state == attempt_state::answering &&
               end(subject, attempt_state::complete, outcome::ran);
    case attempt_event::lost:
    case attempt_event::timed_out:
    case attempt_event::cancelled:
        return end(subject, attempt_state::ended, outcome_if_lost(subject));
    case attempt_event::proved_not_run:
        return state == attempt_state::possibly_sent &&
               end(subject, attempt_state::ended, outcome::not_run);
    case attempt_event::proved_ran:
        return state == attempt_state::possibly_sent &&
               end(subject, attempt_state::ended, outcome::ran);
    }
    return false;
}

bool begin_write(attempt& subject, base::time_point now)
{
    if (now >= subject.deadline) {
        apply(subject, attempt_event::timed_out);
        return false;
    }
    return apply(subject, attempt_event::write);
}

outcome outcome_if_lost(const attempt& subject)
{
    if (subject.result) {
        return *subject.result;
    }
    if (is_unsent(subject.state)) {
        return outcome::not_run;
    }
    return subject.state == attempt_state::possibly_sent ? outcome::unknown : outcome::ran;
}

} // namespace chicorylink::dispatch
