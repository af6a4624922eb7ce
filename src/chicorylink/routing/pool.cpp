#include "pool.hpp"

#include "chicorylink/routing/brown_out.hpp"
#include "chicorylink/routing/rendezvous.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorylink::routing {
namespace {

constexpr double initial_service_ms = 2000.0;
constexpr double smoothing = 0.05;

/// Faster samples weigh more, because the pace should reflect prompts that did not wait.
constexpr double pace_fall_smoothing = 0.2;
constexpr double pace_rise_smoothing = 0.01;

/// Shorter prompts are not representative of the pace.
constexpr std::int64_t min_pace_sample_tokens = 512;

/// Policy weights are in hundredths; 100 is neutral.
constexpr double neutral_weight = 100.0;

/// The share of slots that a team above its fair share leaves to other teams.
constexpr double reserved_share = 0.05;

/// A team exceeds its share of the slots when it has more in flight than this multiple of the share
/// plus a slack, which keeps small teams from waiting for their own few requests.
constexpr double share_bound = 1.5;
constexpr double share_slack = 4.0;

/// Retry delay while no target accepts work; the first ejection will have ended by then.
constexpr base::milliseconds no_target_retry_after = first_ejection;

/// Forwarding to other regions ends when the local share of used slots is below this.
constexpr double forwarding_end_use = 0.7;

/// Maximum number of queued requests forwarded to other regions per tick.
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
    : m_settings(settings), m_service_ms(initial_service_ms),
      m_random(settings.seed ^ route.value())
{
    m_state.region = settings.region;
    m_state.route = route;
    m_keyless_team.regions = {settings.region};
}

decision pool::submit(const request& req, base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto* team = team_of(req);
    if (team == nullptr || !rules::may_run_in(*team, m_state.region)) {
        return refuse(req, refusal_reason::region_not_allowed, base::milliseconds{0});
    }
    if (now >= req.deadline) {
        return refuse(req, refusal_reason::deadline, min_retry_after);
    }
    const auto capacity = capacity_of(m_state, now);
    m_state.mean_use = capacity.mean_use;
    m_state.must_wait = must_wait(req, capacity);
    m_state.queue_delay = m_queue.expected_delay(req.team, team->weight, fallback_rate(capacity));
    ++m_state.decision_count;
    const auto selected =
        m_settings.policy(m_state, req, *team, m_book->routing_policy(), now, random_bits());
    switch (selected.kind) {
    case choice_kind::target:
        return dispatch(req, selected, now);
    case choice_kind::queue:
        return enqueue(req, *team, now);
    case choice_kind::other_region:
        return forward(req, selected.region, now);
    case choice_kind::refuse:
        break;
    }
    return refuse(req, refusal_reason::no_target, no_target_retry_after);
}

void pool::on_first_token(request_id id, base::nanoseconds latency, base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_in_flight.find(id);
    if (found == m_in_flight.end() || found->second.first_token_seen) {
        return;
    }
    found->second.first_token_seen = true;
    const auto index = index_of(found->second.target);
    if (index == m_state.targets.size()) {
        return;
    }
    auto& target = m_state.targets[index];
    routing::on_first_token(target, found->second.uncached_prompt, latency);
    update_prefill_pace(found->second.uncached_prompt, latency);
    eject_if_slow(m_state.targets, index, now);
}

std::vector<decision> pool::on_attempt_finished(const finished_attempt& attempt,
                                                base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<decision> decisions;
    const auto found = m_in_flight.find(attempt.id);
    if (found == m_in_flight.end()) {
        return decisions;
    }
    const auto done = found->second;
    remove_in_flight(attempt.id);
    const auto index = index_of(done.target);
    if (index < m_state.targets.size()) {
        if (!done.first_token_seen) {
            on_prefill_dropped(m_state.targets[index], done.uncached_prompt);
        }
        on_finished(m_state.targets[index], done.work, attempt.outcome, attempt.latency, now);
        update_health(m_state.targets, index, attempt.outcome, now);
    }
    if (attempt.outcome == attempt_outcome::succeeded) {
        const std::chrono::duration<double, std::milli> elapsed = attempt.latency;
        m_service_ms += smoothing * (elapsed.count() - m_service_ms);
    }
    drain(decisions, now);
    return decisions;
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
    std::vector<decision> decisions;
    end_ejections(m_state.targets, now);
    if (m_queue.empty()) {
        end_forwarding(now);
        return decisions;
    }
    take_expired(decisions, now);
    drain(decisions, now);
    forward_queued(decisions, now);
    if (!has_live_target()) {
        refuse_all(decisions);
    }
    return decisions;
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
    const auto position = std::lower_bound(
        targets.begin(), targets.end(), id,
        [](const target_state& entry, base::target_id wanted) { return entry.id < wanted; });
    if (position == targets.end() || position->id != id) {
        return targets.size();
    }
    return static_cast<std::size_t>(position - targets.begin());
}

const rules::team* pool::team_of(const request& req) const
{
    if (!m_book) {
        return nullptr;
    }
    const auto* team = m_book->find(req.team);
    if (team == nullptr && m_open_to_all && req.team == base::team_id{}) {
        return &m_keyless_team;
    }
    return team;
}

bool pool::exceeds_share(base::team_id team, std::uint32_t weight,
                         const pool_capacity& capacity) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        return false;
    }
    std::uint64_t weights = 0;
    for (const auto& [id, use] : m_teams) {
        weights += use.weight;
    }
    const auto own_slots = static_cast<double>(capacity.usable) / m_state.vm_count;
    const auto fair = own_slots * weight / static_cast<double>(std::max<std::uint64_t>(weights, 1));
    return found->second.in_flight > fair * share_bound + share_slack;
}

bool pool::may_start(const request& req, const pool_capacity& capacity) const
{
    if (capacity.free == 0) {
        return false;
    }
    const auto* team = team_of(req);
    const auto weight = team == nullptr ? 1U : team->weight;
    const auto part = reserved_share * m_book->routing_policy().worst_team_weight / neutral_weight;
    const auto reserve = static_cast<double>(capacity.usable) * part;
    return capacity.free > reserve || !exceeds_share(req.team, weight, capacity);
}

double pool::fallback_rate(const pool_capacity& capacity) const
{
    constexpr double milliseconds_per_second = 1e3;
    const auto slots = static_cast<double>(capacity.usable) / m_state.vm_count;
    return slots / m_service_ms * milliseconds_per_second * m_queue.mean_work();
}

base::milliseconds pool::expected_prefill_time(const request& req) const
{
    const auto prompt = static_cast<double>(req.prompt_tokens.value());
    return base::milliseconds{
        std::llround(prompt * m_state.prefill_pace / microseconds_per_millisecond)};
}

bool pool::must_wait(const request& req, const pool_capacity& capacity) const
{
    if (!may_start(req, capacity) || m_queue.size_of(req.team) > 0) {
        return true;
    }
    const auto ahead =
        m_queue.front_if([&](const request& head) { return may_start(head, capacity); });
    return ahead != nullptr;
}

decision pool::refuse(const request& req, refusal_reason reason,
                      base::milliseconds retry_after) const
{
    return {
        .id = req.id, .kind = decision_kind::refused, .reason = reason, .retry_after = retry_after};
}

decision pool::dispatch(const request& req, const choice& selected, base::time_point now)
{
    auto& target = m_state.targets[selected.target];
    const base::tokens work{work_tokens(req)};
    const auto cached = static_cast<std::int64_t>(selected.cached_blocks) * prefix_block_tokens;
    const auto uncached = std::max<std::int64_t>(req.prompt_tokens.value() - cached, 0);
    on_sent(target, work, base::tokens{uncached}, now);
    m_state.hints.remember(req.prefix.blocks, target.id, now);
    m_in_flight[req.id] = in_flight_request{target.id, req.team, work, base::tokens{uncached}};
    const auto* team = team_of(req);
    auto& use = m_teams[req.team];
    ++use.in_flight;
    use.weight = team == nullptr ? 1U : team->weight;
    return {.id = req.id, .kind = decision_kind::dispatched, .target = target.id};
}

decision pool::enqueue(const request& req, const rules::team& team, base::time_point now)
{
    const auto delay = m_state.queue_delay;
    const auto left = whole_milliseconds(req.deadline - now);
    const auto late = delay + expected_prefill_time(req) - left;
    if (late > base::milliseconds{0}) {
        return refuse(req, refusal_reason::deadline, std::max(late, min_retry_after));
    }
    if (sheds(level_of(delay, left, m_book->routing_policy()), req)) {
        return refuse(req, refusal_reason::brown_out, std::max(delay, min_retry_after));
    }
    const auto reason = m_queue.push(req, team.weight, now);
    if (reason != refusal_reason::none) {
        return refuse(req, reason, std::max(delay, min_retry_after));
    }
    return {.id = req.id, .kind = decision_kind::queued};
}

decision pool::forward(const request& req, base::region_id destination, base::time_point now)
{
    for (auto& other : m_state.others) {
        if (other.region == destination) {
            ++other.sent_since_report;
            ++other.in_flight;
            other.forwarding = true;
            on_link_bytes(other, req.body, now);
        }
    }
    m_forwards[req.id] = destination;
    m_state.sessions.remember(req.prefix.session, destination, now);
    return {.id = req.id, .kind = decision_kind::forward, .region = destination};
}

void pool::take_expired(std::vector<decision>& decisions, base::time_point now)
{
    for (const auto& waiting : m_queue.take_expired(base::milliseconds{0}, now)) {
        const auto delay = m_queue.expected_delay(waiting.team, 1, 0);
        decisions.push_back(
            refuse(waiting, refusal_reason::deadline, std::max(delay, min_retry_after)));
    }
}

void pool::forward_queued(std::vector<decision>& decisions, base::time_point now)
{
    const auto capacity = capacity_of(m_state, now);
    const auto rate = fallback_rate(capacity);
    const choice local{.kind = has_live_target() ? choice_kind::queue : choice_kind::refuse};
    const auto limit = has_live_target() ? forwards_per_tick : m_queue.size();
    base::team_id last;
    std::size_t position = 0;
    const auto should_forward = [&](const request& waiting) {
        position = waiting.team == last ? position + 1 : 0;
        last = waiting.team;
        const auto* team = team_of(waiting);
        if (team == nullptr) {
            return false;
        }
        const auto team_delay = m_queue.expected_delay(waiting.team, team->weight, rate);
        const auto size = static_cast<std::int64_t>(m_queue.size_of(waiting.team));
        m_state.queue_delay =
            team_delay * static_cast<std::int64_t>(position) / std::max(size, std::int64_t{1});
        const auto best_region =
            choose_region(m_state, waiting, *team, m_book->routing_policy(), local, now);
        if (!best_region) {
            return false;
        }
        // Recorded immediately so that the next request sees the slot as taken.
        decisions.push_back(forward(waiting, *best_region, now));
        return true;
    };
    (void)m_queue.take_if(should_forward, limit);
}

bool pool::has_live_target() const
{
    return std::any_of(m_state.targets.begin(), m_state.targets.end(), [](const auto& target) {
        return target.availability == target_availability::live;
    });
}

void pool::refuse_all(std::vector<decision>& decisions)
{
    const auto refused_requests =
        m_queue.take_if([](const request&) { return true; }, m_queue.size());
    for (const auto& waiting : refused_requests) {
        decisions.push_back(refuse(waiting, refusal_reason::no_target, no_target_retry_after));
    }
}

void pool::end_forwarding(base::time_point now)
{
    for (auto& other : m_state.others) {
        if (other.forwarding && other.in_flight == 0 &&
            capacity_of(m_state, now).mean_use < forwarding_end_use) {
            other.forwarding = false;
        }
    }
}

void pool::drain(std::vector<decision>& decisions, base::time_point now)
{
    while (!m_queue.empty()) {
        const auto capacity = capacity_of(m_state, now);
        m_state.mean_use = capacity.mean_use;
        const auto* next =
            m_queue.front_if([&](const request& head) { return may_start(head, capacity); });
        if (next == nullptr) {
            return;
        }
        const auto found =
            choose_target(m_state, *next, m_book->routing_policy(), now, random_bits());
        if (found.kind != choice_kind::target) {
            return;
        }
        const auto taken = m_queue.take(next->team, now);
        decisions.push_back(dispatch(taken, found, now));
    }
}

void pool::update_prefill_pace(base::tokens uncached, base::nanoseconds latency)
{
    if (uncached.value() < min_pace_sample_tokens) {
        return;
    }
    const std::chrono::duration<double, std::micro> elapsed = latency;
    const auto sample = elapsed.count() / static_cast<double>(uncached.value());
    const auto faster = sample < m_state.prefill_pace;
    m_state.prefill_pace +=
        (faster ? pace_fall_smoothing : pace_rise_smoothing) * (sample - m_state.prefill_pace);
}

void pool::remove_in_flight(request_id id)
{
    const auto found = m_in_flight.find(id);
    const auto team = m_teams.find(found->second.team);
    if (team != m_teams.end()) {
        --team->second.in_flight;
        if (team->second.in_flight == 0) {
            m_teams.erase(team);
        }
    }
    m_in_flight.erase(found);
}

std::uint64_t pool::random_bits()
{
    m_random += random_step;
    return rendezvous_weight(m_random, 0);
}

} // namespace chicorylink::routing
