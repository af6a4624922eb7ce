#include "chicorylink/dispatch/ticket_rules.hpp"

#include <utility>

namespace chicorylink::dispatch {
namespace {

ticket_decision decide_on(const ticket_record& record, const base::digest& request)
{
    if (record.state == ticket_state::voided) {
        return {ticket_verdict::voided, outcome::not_run, nullptr};
    }
    if (!base::equal_constant_time(record.request_digest, request)) {
        return {ticket_verdict::mismatch, outcome::unknown, nullptr};
    }
    switch (record.state) {
    case ticket_state::in_progress:
        return {ticket_verdict::in_progress, outcome::unknown, nullptr};
    case ticket_state::done:
        return {ticket_verdict::answered, outcome::ran, record.response};
    case ticket_state::uncertain:
    case ticket_state::voided:
        break;
    }
    return {ticket_verdict::uncertain, outcome::unknown, nullptr};
}

} // namespace

ticket_decision begin_request(ticket_slot& slot, const ticket_times& times,
                              const base::digest& request, const attempt_id& holder,
                              base::time_point now)
{
    if (now >= times.discard_at) {
        return {ticket_verdict::forgotten, outcome::unknown, nullptr};
    }
    if (slot) {
        return decide_on(*slot, request);
    }
    if (now >= times.begin_before) {
        return {ticket_verdict::expired, outcome::not_run, nullptr};
    }
    slot = ticket_record{.state = ticket_state::in_progress,
                         .request_digest = request,
                         .holder = holder,
                         .discard_at = times.discard_at,
                         .response = nullptr};
    return {ticket_verdict::run, outcome::unknown, nullptr};
}

bool end_request(ticket_slot& slot, const attempt_id& holder, outcome result,
                 std::shared_ptr<const stored_response> response)
{
    if (!slot || slot->state != ticket_state::in_progress || slot->holder != holder) {
        return false;
    }
    if (result == outcome::not_run) {
        slot->state = ticket_state::voided;
    }
    else if (result == outcome::ran && response != nullptr) {
        slot->state = ticket_state::done;
        slot->response = std::move(response);
    }
    else {
        slot->state = ticket_state::uncertain;
    }
    return true;
}

void void_unused(ticket_slot& slot, const ticket_times& times)
{
    if (!slot) {
        slot = ticket_record{.state = ticket_state::voided, .discard_at = times.discard_at};
    }
}

outcome outcome_of_entry_refusal(bool has_ticket, bool is_first_attempt)
{
    return has_ticket && !is_first_attempt ? outcome::unknown : outcome::not_run;
}

} // namespace chicorylink::dispatch
