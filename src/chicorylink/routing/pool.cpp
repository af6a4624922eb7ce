#include "pool.hpp"

#include "chicorylink/routing/brown_out.hpp"
#include "chicorylink/routing/rendezvous.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorylink::routing {
namespace {

constexpr double first_service_ms = 2000.0;
constexpr double smoothing = 0.05;

/// The time of a prompt that did not wait is what is looked for: faster samples count for more.
constexpr double pace_fall = 0.2;
constexpr double pace_rise = 0.01;

/// Shorter prompts say little about the pace.
constexpr std::int64_t least_pace_sample = 512;

/// Weights are in hundredths.
constexpr double neutral_weight = 100.0;

/// The part of the slots that a team beyond its share leaves to the others.
constexpr double reserved_part = 0.05;

/// A team is beyond its share of the slots when it has this multiple of it and some more in flight;
/// the slack keeps small teams from waiting for their own few requests.
constexpr double share_bound = 1.5;
constexpr double share_slack = 4.0;

/// When to come back while no target takes work: after the first ejection has ended.
constexpr base::milliseconds retry_without_target = first_ejection;

/// Work stops flowing to other regions when less than this part of the slots is in use here.
constexpr double calm_use = 0.7;

/// Requests that leave the queue for other regions at one tick.
constexpr std::size_t forwards_per_tick = 8;

constexpr double microseconds_per_millisecond = 1e3;

/// The step of the pseudo-random sequence (SplitMix64).
constexpr std::uint64_t random_step = 0x9e3779b97f4a7c15U;

base::milliseconds whole_milliseconds(base::nanoseconds span)
{
    return std::chrono::ceil<base::milliseconds>(span);
}

} // namespace

pool::pool(const router_settings& settings, base::route_id route)
    : m_settings(settings), m_service_ms(first_service_ms), m_random(settings.seed ^ route.value())
{
    m_state.region = settings.region;
    m_state.route = route;
    m_anyone.regions = {settings.region};
}

decision pool::submit(const request& asked, base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto* who = team_of(asked);
    if (who == nullptr || !rules::may_run_in(*who, m_state.region)) {
        return refuse(asked, refusal_reason::region_not_allowed, base::milliseconds{0});
    }
    if (now >= asked.deadline) {
        return refuse(asked, refusal_reason::deadline, least_retry);
    }
    const auto capacity = capacity_of(m_state, now);
    m_state.mean_use = capacity.mean_use;
    m_state.must_wait = must_wait(asked, capacity);
    m_state.queue_delay = m_queue.expected_delay(asked.team, who->weight, fallback_rate(capacity));
    ++m_state.turn;
    const auto made =
        m_settings.policy(m_state, asked, *who, m_book->routing_policy(), now, random_bits());
    switch (made.kind) {
    case choice_kind::target:
        return dispatch(asked, made, now);
    case choice_kind::queue:
        return enqueue(asked, *who, now);
    case choice_kind::other_region:
        return forward(asked, made.region, now);
    case choice_kind::refuse:
        break;
    }
    return refuse(asked, refusal_reason::no_target, retry_without_target);
}

void pool::on_first_token(request_id id, base::nanoseconds latency, base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_flights.find(id);
    if (found == m_flights.end() || found->second.answered) {
        return;
    }
    found->second.answered = true;
    const auto index = index_of(found->second.target);
    if (index == m_state.targets.size()) {
        return;
    }
    auto& target = m_state.targets[index];
    routing::on_first_token(target, found->second.cold_prompt, latency);
    learn_prefill_pace(found->second.cold_prompt, latency);
    judge_speed(m_state.targets, index, now);
}

std::vector<decision> pool::on_attempt_finished(const finished_attempt& attempt,
                                                base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<decision> made;
    const auto found = m_flights.find(attempt.id);
    if (found == m_flights.end()) {
        return made;
    }
    const auto done = found->second;
    end_flight(attempt.id);
    const auto index = index_of(done.target);
    if (index < m_state.targets.size()) {
        if (!done.answered) {
            on_prefill_dropped(m_state.targets[index], done.cold_prompt);
        }
        on_finished(m_state.targets[index], done.work, attempt.outcome, attempt.latency, now);
        judge_outcome(m_state.targets, index, attempt.outcome, now);
    }
    if (attempt.outcome == attempt_outcome::succeeded) {
        const std::chrono::duration<double, std::milli> taken = attempt.latency;
        m_service_ms += smoothing * (taken.count() - m_service_ms);
    }
    drain(made, now);
    return made;
}

void pool::on_forward_finished(request_id id, bool reached, base::bytes transferred,
                               base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_forwards.find(id);
    if (found == m_forwards.end()) {
        return;
    }
    for (auto& other : m_state.others) {
        if (other.region != found->second) {
            continue;
        }
        other.in_flight -= std::min(other.in_flight, 1U);
        on_link_bytes(other, transferred, now);
        if (!reached) {
            other.failed_at = now;
        }
    }
    m_forwards.erase(found);
}

std::vector<decision> pool::tick(base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<decision> made;
    end_ejections(m_state.targets, now);
    if (m_queue.empty()) {
        end_spilling(now);
        return made;
    }
    take_expired(made, now);
    drain(made, now);
    take_forwards(made, now);
    if (!serves()) {
        refuse_all(made);
    }
    return made;
}

bool pool::cancel(request_id id)
{
    const std::lock_guard lock(m_mutex);
    return m_queue.remove(id);
}

std::size_t pool::queued() const
{
    const std::lock_guard lock(m_mutex);
    return m_queue.size();
}

target_state* pool::find(base::target_id id)
{
    const auto index = index_of(id);
    return index == m_state.targets.size() ? nullptr : &m_state.targets[index];
}

std::size_t pool::index_of(base::target_id id) const
{
    const auto& targets = m_state.targets;
    const auto place = std::lower_bound(
        targets.begin(), targets.end(), id,
        [](const target_state& entry, base::target_id wanted) { return entry.id < wanted; });
    if (place == targets.end() || place->id != id) {
        return targets.size();
    }
    return static_cast<std::size_t>(place - targets.begin());
}

const rules::team* pool::team_of(const request& asked) const
{
    if (!m_book) {
        return nullptr;
    }
    const auto* who = m_book->find(asked.team);
    if (who == nullptr && m_open_to_all && asked.team == base::team_id{}) {
        return &m_anyone;
    }
    return who;
}

bool pool::over_share(base::team_id who, std::uint32_t weight, const pool_capacity& capacity) const
{
    const auto found = m_teams.find(who);
    if (found == m_teams.end()) {
        return false;
    }
    std::uint64_t weights = 0;
    for (const auto& [id, use] : m_teams) {
        weights += use.weight;
    }
    const auto own_slots = static_cast<double>(capacity.usable) / m_state.sharers;
    const auto fair = own_slots * weight / static_cast<double>(std::max<std::uint64_t>(weights, 1));
    return found->second.in_flight > fair * share_bound + share_slack;
}

bool pool::may_begin(const request& asked, const pool_capacity& capacity) const
{
    if (capacity.free == 0) {
        return false;
    }
    const auto* who = team_of(asked);
    const auto weight = who == nullptr ? 1U : who->weight;
    const auto part = reserved_part * m_book->routing_policy().worst_team_weight / neutral_weight;
    const auto reserve = static_cast<double>(capacity.usable) * part;
    return capacity.free > reserve || !over_share(asked.team, weight, capacity);
}

double pool::fallback_rate(const pool_capacity& capacity) const
{
    constexpr double milliseconds_per_second = 1e3;
    const auto slots = static_cast<double>(capacity.usable) / m_state.sharers;
    return slots / m_service_ms * milliseconds_per_second * m_queue.mean_work();
}

base::milliseconds pool::needed_time(const request& asked) const
{
    const auto prompt = static_cast<double>(asked.prompt_tokens.value());
    return base::milliseconds{
        std::llround(prompt * m_state.prefill_pace / microseconds_per_millisecond)};
}

bool pool::must_wait(const request& asked, const pool_capacity& capacity) const
{
    if (!may_begin(asked, capacity) || m_queue.size_of(asked.team) > 0) {
        return true;
    }
    const auto ahead =
        m_queue.front_if([&](const request& head) { return may_begin(head, capacity); });
    return ahead != nullptr;
}

decision pool::refuse(const request& asked, refusal_reason reason,
                      base::milliseconds retry_after) const
{
    return {.id = asked.id,
            .kind = decision_kind::refused,
            .reason = reason,
            .retry_after = retry_after};
}

decision pool::dispatch(const request& asked, const choice& made, base::time_point now)
{
    auto& target = m_state.targets[made.target];
    const base::tokens work{work_tokens(asked)};
    const auto warm = static_cast<std::int64_t>(made.warm_blocks) * prefix_block_tokens;
    const auto cold = std::max<std::int64_t>(asked.prompt_tokens.value() - warm, 0);
    on_sent(target, work, base::tokens{cold}, now);
    m_state.hints.remember(asked.prefix.blocks, target.id, now);
    m_flights[asked.id] = flight{target.id, asked.team, work, base::tokens{cold}};
    const auto* who = team_of(asked);
    auto& use = m_teams[asked.team];
    ++use.in_flight;
    use.weight = who == nullptr ? 1U : who->weight;
    return {.id = asked.id, .kind = decision_kind::dispatched, .target = target.id};
}

decision pool::enqueue(const request& asked, const rules::team& who, base::time_point now)
{
    const auto delay = m_state.queue_delay;
    const auto left = whole_milliseconds(asked.deadline - now);
    const auto late = delay + needed_time(asked) - left;
    if (late > base::milliseconds{0}) {
        return refuse(asked, refusal_reason::deadline, std::max(late, least_retry));
    }
    if (sheds(level_of(delay, left, m_book->routing_policy()), asked)) {
        return refuse(asked, refusal_reason::brown_out, std::max(delay, least_retry));
    }
    const auto reason = m_queue.push(asked, who.weight, now);
    if (reason != refusal_reason::none) {
        return refuse(asked, reason, std::max(delay, least_retry));
    }
    return {.id = asked.id, .kind = decision_kind::queued};
}

decision pool::forward(const request& asked, base::region_id where, base::time_point now)
{
    for (auto& other : m_state.others) {
        if (other.region == where) {
            ++other.sent_since_report;
            ++other.in_flight;
            other.spilling = true;
            on_link_bytes(other, asked.body, now);
        }
    }
    m_forwards[asked.id] = where;
    m_state.sessions.remember(asked.prefix.session, where, now);
    return {.id = asked.id, .kind = decision_kind::forward, .region = where};
}

void pool::take_expired(std::vector<decision>& made, base::time_point now)
{
    for (const auto& waiting : m_queue.take_expired(base::milliseconds{0}, now)) {
        const auto delay = m_queue.expected_delay(waiting.team, 1, 0);
        made.push_back(refuse(waiting, refusal_reason::deadline, std::max(delay, least_retry)));
    }
}

void pool::take_forwards(std::vector<decision>& made, base::time_point now)
{
    const auto capacity = capacity_of(m_state, now);
    const auto rate = fallback_rate(capacity);
    const choice waits{.kind = serves() ? choice_kind::queue : choice_kind::refuse};
    const auto limit = serves() ? forwards_per_tick : m_queue.size();
    base::team_id last;
    std::size_t place = 0;
    const auto leaves = [&](const request& waiting) {
        place = waiting.team == last ? place + 1 : 0;
        last = waiting.team;
        const auto* who = team_of(waiting);
        if (who == nullptr) {
            return false;
        }
        const auto whole = m_queue.expected_delay(waiting.team, who->weight, rate);
        const auto size = static_cast<std::int64_t>(m_queue.size_of(waiting.team));
        m_state.queue_delay =
            whole * static_cast<std::int64_t>(place) / std::max(size, std::int64_t{1});
        const auto away =
            choose_region(m_state, waiting, *who, m_book->routing_policy(), waits, now);
        if (!away) {
            return false;
        }
        // Counted at once, so that the next one sees the slot taken.
        made.push_back(forward(waiting, *away, now));
        return true;
    };
    (void)m_queue.take_if(leaves, limit);
}

bool pool::serves() const
{
    return std::any_of(m_state.targets.begin(), m_state.targets.end(), [](const auto& target) {
        return target.availability == target_availability::live;
    });
}

void pool::refuse_all(std::vector<decision>& made)
{
    const auto all = m_queue.take_if([](const request&) { return true; }, m_queue.size());
    for (const auto& waiting : all) {
        made.push_back(refuse(waiting, refusal_reason::no_target, retry_without_target));
    }
}

void pool::end_spilling(base::time_point now)
{
    for (auto& other : m_state.others) {
        if (other.spilling && other.in_flight == 0 &&
            capacity_of(m_state, now).mean_use < calm_use) {
            other.spilling = false;
        }
    }
}

void pool::drain(std::vector<decision>& made, base::time_point now)
{
    while (!m_queue.empty()) {
        const auto capacity = capacity_of(m_state, now);
        m_state.mean_use = capacity.mean_use;
        const auto* next =
            m_queue.front_if([&](const request& head) { return may_begin(head, capacity); });
        if (next == nullptr) {
            return;
        }
        const auto found =
            choose_target(m_state, *next, m_book->routing_policy(), now, random_bits());
        if (found.kind != choice_kind::target) {
            return;
        }
        const auto taken = m_queue.take(next->team, now);
        made.push_back(dispatch(taken, found, now));
    }
}

void pool::learn_prefill_pace(base::tokens cold, base::nanoseconds latency)
{
    if (cold.value() < least_pace_sample) {
        return;
    }
    const std::chrono::duration<double, std::micro> taken = latency;
    const auto sample = taken.count() / static_cast<double>(cold.value());
    const auto faster = sample < m_state.prefill_pace;
    m_state.prefill_pace += (faster ? pace_fall : pace_rise) * (sample - m_state.prefill_pace);
}

void pool::end_flight(request_id id)
{
    const auto found = m_flights.find(id);
    const auto team = m_teams.find(found->second.team);
    if (team != m_teams.end()) {
        --team->second.in_flight;
        if (team->second.in_flight == 0) {
            m_teams.erase(team);
        }
    }
    m_flights.erase(found);
}

std::uint64_t pool::random_bits()
{
    m_random += random_step;
    return rendezvous_weight(m_random, 0);
}

} // namespace chicorylink::routing
