#include "chicorylink/fleet/placement_desk.hpp"

#include "chicorylink/fleet/placement.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::fleet {
namespace {

/// A prompt that has not begun by then was not read there: longer than the wait that any request
/// is sent into, and the silence after which it is sent elsewhere.
constexpr base::milliseconds longest_unread{6'000};

/// The longest answer of a deployment's sheets; a place that is held longer lost its note.
constexpr base::milliseconds longest_held{20'000};

/// A desk that nobody asked for so long is one no more, or its region has no work.
constexpr base::milliseconds use_memory{2'000};

} // namespace

placement_answer placement_desk::place(target_pool& pool, const std::string& asker,
                                       base::incarnation run, const placement_ask& ask,
                                       base::time_point now)
{
    m_asked_at = now;
    const auto [known, is_new] = m_runs.try_emplace(asker, run);
    if (!is_new && known->second != run) {
        forget(pool, asker);
        m_runs[asker] = run;
    }
    const auto urgency = std::min<std::uint8_t>(ask.urgency, urgency_levels - 1);
    placement_request request;
    request.service = ask.service;
    request.asked = ask.asked ? &*ask.asked : nullptr;
    request.spread = ask.spread;
    request.by_desk = true;
    request.urgency = urgency;
    request.data_center = ask.data_center;
    request.may_use = [&](const tracked_target& target) {
        // Work for a target that may be cold is shared out among the VMs in another way.
        return !may_be_cold(target, now) &&
               std::find(ask.avoided.begin(), ask.avoided.end(), target.id) == ask.avoided.end();
    };
    placement_answer answer;
    answer.number = ask.number;
    const auto choice = choose_target(pool, request, now);
    if (!choice) {
        return answer;
    }
    answer.target = base::id_of<base::target_id>(choice->target.text());
    answer.wait = choice->wait;
    answer.start = choice->start;
    answer.unread_tokens = choice->unread_tokens;
    const auto reread = ask.asked ? reread_tokens(ask.asked->prompt_tokens,
                                                  shared_tokens(*ask.asked), choice->unread_tokens)
                                  : 0;
    answer.is_reserved = choice->wait <= ask.longest_wait && choice->start <= ask.longest_start &&
                         reread <= ask.most_reread_tokens;
    if (answer.is_reserved) {
        pool.on_reserved(choice->target, request.asked, choice->unread_tokens, urgency, now);
        m_reservations.insert_or_assign({asker, ask.number},
                                        reservation{choice->target, choice->unread_tokens, false,
                                                    urgency, now, now + choice->start});
    }
    return answer;
}

void placement_desk::take_note(target_pool& pool, const std::string& asker,
                               const placement_note& note, base::time_point now)
{
    const auto found = m_reservations.find({asker, note.number});
    if (found == m_reservations.end()) {
        return;
    }
    auto& place = found->second;
    if (note.event == placement_event::begun) {
        pool.on_reserved_begun(place.target, now);
        note_read(pool, place);
        return;
    }
    if (note.outcome) {
        // One VM that can't reach a target does not speak for the region.
        const auto outcome =
            *note.outcome == target_outcome::unreachable ? target_outcome::broken : *note.outcome;
        pool.on_outcome(place.target, outcome, note.took, now);
    }
    give_back(pool, place);
    m_reservations.erase(found);
}

void placement_desk::note_read(target_pool& pool, reservation& place)
{
    if (!std::exchange(place.is_read, true)) {
        pool.on_reserved_read(place.target, place.unread_tokens, place.urgency);
    }
}

void placement_desk::give_back(target_pool& pool, reservation& place)
{
    note_read(pool, place);
    pool.on_reserved_ended(place.target);
}

void placement_desk::forget(target_pool& pool, const std::string& asker)
{
    m_runs.erase(asker);
    for (auto entry = m_reservations.begin(); entry != m_reservations.end();) {
        if (entry->first.first == asker) {
            give_back(pool, entry->second);
            entry = m_reservations.erase(entry);
        }
        else {
            ++entry;
        }
    }
}

void placement_desk::tick(target_pool& pool, base::time_point now)
{
    std::map<target_name, base::time_point> first_due;
    for (auto entry = m_reservations.begin(); entry != m_reservations.end();) {
        auto& place = entry->second;
        if (now - place.made_at > longest_held) {
            give_back(pool, place);
            entry = m_reservations.erase(entry);
            continue;
        }
        if (now - place.made_at > longest_unread) {
            note_read(pool, place);
        }
        if (!place.is_read) {
            const auto [due, is_first] = first_due.try_emplace(place.target, place.due_at);
            due->second = std::min(due->second, place.due_at);
        }
        ++entry;
    }
    pool.set_first_due(first_due);
}

bool placement_desk::is_in_use(base::time_point now) const
{
    return now - m_asked_at <= use_memory;
}

} // namespace chicorylink::fleet
