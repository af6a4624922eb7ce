#include "chicorylink/fleet/placement_coordinator.hpp"

#include "chicorylink/fleet/placement.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::fleet {
namespace {

/// A request that has not begun by then counts as not read at this target. Longer than the expected
/// wait of any request that is sent, and than the silence after which it is sent elsewhere.
constexpr base::milliseconds max_unread_time{6'000};

/// The longest specified response time; the note that ends an older reservation was lost.
constexpr base::milliseconds max_reservation_time{20'000};

/// A coordinator without queries for this time has lost its role, or its region has no requests.
constexpr base::milliseconds active_time{2'000};

double ms_between(base::time_point from, base::time_point until)
{
    return std::chrono::duration<double, std::milli>(until - from).count();
}

/// The expected start of a request at usual speed.
scheduling::measured_start expected_start(const placement_choice& choice)
{
    scheduling::measured_start expected;
    expected.expected_ms = static_cast<double>(choice.start.count()) / choice.time_factor;
    expected.expected_wait_ms = static_cast<double>(choice.wait.count()) / choice.time_factor;
    return expected;
}

} // namespace

placement_answer placement_coordinator::place(target_pool& pool, const std::string& sender,
                                              base::incarnation run, const placement_query& query,
                                              base::time_point now)
{
    m_last_query_at = now;
    const auto [known, is_new] = m_runs.try_emplace(sender, run);
    if (!is_new && known->second != run) {
        release_all(pool, sender);
        m_runs[sender] = run;
    }
    const auto urgency = std::min<std::uint8_t>(query.urgency, urgency_levels - 1);
    placement_request request;
    request.service = query.service;
    request.engine_prompt = query.engine_prompt ? &*query.engine_prompt : nullptr;
    request.spread = query.spread;
    request.by_coordinator = true;
    request.urgency = urgency;
    request.data_center = query.data_center;
    request.time_left = query.time_left;
    const auto may_use = [&](const tracked_target& target) {
        const auto limit = limit_at(target.pushback.limit, now);
        // Requests for a target that may be cold are divided among the VMs in another way.
        return !may_be_cold(target, now) &&
               (!limit || m_pacer.allows(target.entry.name, coordinated_rate(*limit), now)) &&
               std::find(query.avoided.begin(), query.avoided.end(), target.id) ==
                   query.avoided.end();
    };
    placement_answer answer;
    answer.number = query.number;
    const auto choice = choose(pool, request, may_use, now);
    if (!choice) {
        return answer;
    }
    answer.target = base::id_of<base::target_id>(choice->target.text());
    answer.wait = choice->wait;
    answer.start = choice->start;
    answer.unread_tokens = choice->unread_tokens;
    answer.end = choice->end;
    const auto reread = query.engine_prompt ? reread_tokens(query.engine_prompt->prompt_tokens,
                                                            shared_tokens(*query.engine_prompt),
                                                            choice->unread_tokens)
                                            : 0;
    answer.is_reserved = choice->wait <= query.longest_wait &&
                         choice->start <= query.longest_start &&
                         reread <= query.most_reread_tokens && !ends_late(*choice, query.time_left);
    if (answer.is_reserved) {
        if (const auto limit = limit_at(pool.find(choice->target)->pushback.limit, now)) {
            m_pacer.note_sent(choice->target, coordinated_rate(*limit), now);
            answer.is_paced = true;
        }
        pool.on_reserved(choice->target, request.engine_prompt, choice->unread_tokens, urgency, now,
                         now + choice->start);
        if (!choice->prefix_holder.empty()) {
            pool.on_transfer(choice->target, choice->prefix_holder, now + choice->transfer);
            answer.prefix_holder = base::id_of<base::target_id>(choice->prefix_holder.text());
        }
        reservation place{choice->target,     choice->unread_tokens, false, urgency, now,
                          now + choice->start};
        const auto& target = *pool.find(choice->target);
        place.expected = expected_start(*choice);
        place.expected.stated_before = scheduling::stated_factor(target.speed, now);
        // The time of a transfer depends on two links, and that of a plain service's response is
        // learned for each target anyway.
        place.is_speed_sample = target.is_engine && choice->prefix_holder.empty();
        m_reservations.insert_or_assign({sender, query.number}, std::move(place));
    }
    return answer;
}

void placement_coordinator::apply_note(target_pool& pool, const std::string& sender,
                                       const placement_note& note, base::time_point now)
{
    const auto found = m_reservations.find({sender, note.number});
    if (found == m_reservations.end()) {
        return;
    }
    auto& place = found->second;
    if (note.outcome) {
        rate_end(pool, place, note, now);
    }
    if (note.event == placement_event::begun) {
        pool.on_reserved_begun(place.target, now);
        release_unread_tokens(pool, place);
        return;
    }
    if (note.outcome) {
        // A target that one VM can't reach may be reachable from the rest of the region.
        const auto outcome =
            *note.outcome == target_outcome::unreachable ? target_outcome::broken : *note.outcome;
        pool.on_outcome(place.target, outcome, note.took, now);
    }
    release(pool, place);
    m_reservations.erase(found);
}

std::vector<speed_change> placement_coordinator::apply_start(target_pool& pool,
                                                             const std::string& sender,
                                                             const target_pace& start,
                                                             base::time_point now)
{
    const auto found = m_reservations.find({sender, start.number});
    if (found == m_reservations.end() || found->second.tokens_released) {
        return {};
    }
    auto& place = found->second;
    const auto* target = pool.find(place.target);
    place.expected.measured_ms = static_cast<double>(start.took.count());
    if (target != nullptr && target->is_engine) {
        rate(pool, place, !scheduling::is_late(place.expected.measured_ms, due_ms(pool, place)),
             now);
    }
    if (target == nullptr || !std::exchange(place.is_speed_sample, false)) {
        return {};
    }
    place.expected.stated_after = scheduling::stated_factor(target->speed, now);
    const auto ratio = scheduling::start_ratio(place.expected);
    return ratio ? pool.on_start_measured(place.target, *ratio, now) : std::vector<speed_change>{};
}

void placement_coordinator::apply_own_note(target_pool& pool, const std::string& self,
                                           const placement_note& note, base::time_point now)
{
    const auto found = m_reservations.find({self, note.number});
    if (found != m_reservations.end() && note.outcome) {
        rate_end(pool, found->second, note, now);
    }
    auto without_outcome = note;
    without_outcome.outcome = std::nullopt;
    apply_note(pool, self, without_outcome, now);
}

std::optional<placement_choice> placement_coordinator::choose(const target_pool& pool,
                                                              placement_request request,
                                                              const target_check& may_use,
                                                              base::time_point now)
{
    const auto is_held_back = [](const tracked_target& target) {
        return scheduling::is_filled(target.window, target.reserved.in_flight);
    };
    std::optional<double> least_fill;
    request.may_use = [&](const tracked_target& target) {
        if (!may_use(target)) {
            return false;
        }
        if (is_held_back(target) && !is_ejected(target.health, now)) {
            const auto fill = scheduling::fill_of(target.window, target.reserved.in_flight);
            least_fill = std::min(least_fill.value_or(fill), fill);
            return false;
        }
        return true;
    };
    auto choice = choose_target(pool, request, now);
    if (!least_fill) {
        return choice;
    }
    ++m_held_back;
    if (choice) {
        const auto& chosen = *pool.find(choice->target);
        if (!is_ejected(chosen.health, now) && !pushes_back(chosen.pushback, now)) {
            return choice;
        }
    }
    // A refusal, or a target that failed or asked for a wait, is worse than one beyond its window.
    request.may_use = [&](const tracked_target& target) {
        return may_use(target) && is_held_back(target) &&
               scheduling::fill_of(target.window, target.reserved.in_flight) <= *least_fill;
    };
    if (auto beyond = choose_target(pool, request, now)) {
        ++m_beyond_windows;
        return beyond;
    }
    return choice;
}

double placement_coordinator::due_ms(const target_pool& pool, const reservation& place)
{
    const double expected_ms = ms_between(place.made_at, place.due_at);
    const auto* target = pool.find(place.target);
    const double usual = target == nullptr ? 1 : pool.usual_start_ratio(target->entry.service);
    return expected_ms * std::max(1.0, usual);
}

void placement_coordinator::rate(target_pool& pool, reservation& place, bool is_good,
                                 base::time_point now)
{
    if (std::exchange(place.is_rated, true)) {
        return;
    }
    if (is_good) {
        pool.on_reserved_in_time(place.target, now);
    }
    else {
        pool.on_reserved_late(place.target, place.made_at, now);
    }
}

void placement_coordinator::rate_end(target_pool& pool, reservation& place,
                                     const placement_note& note, base::time_point now)
{
    const auto* target = pool.find(place.target);
    if (target == nullptr) {
        return;
    }
    if (*note.outcome != target_outcome::answered) {
        // A failure counts even if the response began in time.
        place.is_rated = false;
        rate(pool, place, false, now);
        return;
    }
    // The expected time of an engine's request ends with its first event, which was rated.
    const auto took = static_cast<double>(note.took.count());
    rate(pool, place, target->is_engine || !scheduling::is_late(took, due_ms(pool, place)), now);
}

void placement_coordinator::release_unread_tokens(target_pool& pool, reservation& place)
{
    if (!std::exchange(place.tokens_released, true)) {
        pool.on_reserved_read(place.target, place.unread_tokens, place.urgency);
    }
}

void placement_coordinator::release(target_pool& pool, reservation& place)
{
    if (!place.tokens_released) {
        pool.on_reserved_canceled(place.target, place.unread_tokens, place.urgency);
    }
    release_unread_tokens(pool, place);
    pool.on_reserved_ended(place.target);
}

void placement_coordinator::release_all(target_pool& pool, const std::string& sender)
{
    m_runs.erase(sender);
    for (auto entry = m_reservations.begin(); entry != m_reservations.end();) {
        if (entry->first.first == sender) {
            release(pool, entry->second);
            entry = m_reservations.erase(entry);
        }
        else {
            ++entry;
        }
    }
}

void placement_coordinator::tick(target_pool& pool, base::time_point now)
{
    std::map<target_name, base::time_point> first_due;
    for (auto entry = m_reservations.begin(); entry != m_reservations.end();) {
        auto& place = entry->second;
        if (now - place.made_at > max_reservation_time) {
            release(pool, place);
            entry = m_reservations.erase(entry);
            continue;
        }
        if (now - place.made_at > max_unread_time) {
            release_unread_tokens(pool, place);
        }
        if (!place.is_rated && !place.tokens_released &&
            scheduling::is_late(ms_between(place.made_at, now), due_ms(pool, place))) {
            rate(pool, place, false, now);
        }
        if (!place.tokens_released) {
            const auto [due, is_first] = first_due.try_emplace(place.target, place.due_at);
            due->second = std::min(due->second, place.due_at);
        }
        ++entry;
    }
    pool.set_first_due(first_due);
    pool.update_windows(now);
}

bool placement_coordinator::is_active(base::time_point now) const
{
    return now - m_last_query_at <= active_time;
}

} // namespace chicorylink::fleet
