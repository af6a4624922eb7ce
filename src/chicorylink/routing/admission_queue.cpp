#include "chicorylink/routing/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorylink::routing {
namespace {

/// Minimum cost of a request in tokens, so that many small requests aren't free.
constexpr std::int64_t min_work = 64;

/// Cost of a response token relative to a prompt token: generating one takes far longer.
constexpr std::int64_t response_token_weight = 8;

/// The interval over which the drain rate is measured.
constexpr std::chrono::duration<double> rate_interval{1.0};

constexpr double rate_smoothing = 0.5;

/// Burst, in tokens, for a team that used less than its share. Without it, one long request would
/// block a small team until its share has covered the cost.
constexpr double burst_work = 60'000;

double burst_for(std::uint32_t weight)
{
    return burst_work / weight;
}

/// The maximum number of idle teams whose virtual time is kept.
constexpr std::size_t max_idle_times = 4096;

} // namespace

std::int64_t work_tokens(const request& req)
{
    const auto work = req.prompt_tokens.value() + req.answer_tokens.value() * response_token_weight;
    return std::max(work, min_work);
}

admission_queue::admission_queue(queue_limits limits) : m_limits(limits) {}

refusal_reason admission_queue::push(request req, std::uint32_t weight, base::time_point now)
{
    if (m_size >= m_limits.total) {
        return refusal_reason::queue_full;
    }
    if (size_of(req.team) >= m_limits.per_team) {
        return refusal_reason::team_queue_full;
    }
    if (m_size == 0) {
        m_busy_since = now;
        m_taken_tokens = 0;
    }
    const auto team = req.team;
    auto& entry = m_teams[team];
    if (entry.size == 0) {
        entry.weight = std::max(weight, 1U);
        entry.virtual_start = virtual_start_of(team, entry.weight);
        m_idle_times.erase(team);
        m_order.emplace(entry.virtual_start, team);
        m_weights += entry.weight;
    }
    const auto work = work_tokens(req);
    entry.tokens += work;
    m_tokens += work;
    ++entry.size;
    ++m_size;
    entry.waiting[static_cast<std::size_t>(req.order)].push_back(std::move(req));
    return refusal_reason::none;
}

double admission_queue::virtual_start_of(base::team_id team, std::uint32_t weight) const
{
    const auto idle = m_idle_times.find(team);
    const auto earliest = m_virtual_time - burst_for(weight);
    return idle == m_idle_times.end() ? earliest : std::max(earliest, idle->second);
}

std::optional<request> admission_queue::pop(base::time_point now)
{
    if (m_order.empty()) {
        return std::nullopt;
    }
    return take(m_order.begin()->second, now);
}

const request& admission_queue::head_of(base::team_id team) const
{
    const auto& lanes = m_teams.at(team).waiting;
    const auto lane =
        std::find_if(lanes.begin(), lanes.end(), [](const auto& one) { return !one.empty(); });
    return lane->front();
}

request admission_queue::take(base::team_id team, base::time_point now)
{
    auto& entry = m_teams.at(team);
    auto lane = std::find_if(entry.waiting.begin(), entry.waiting.end(),
                             [](const auto& one) { return !one.empty(); });
    request taken = std::move(lane->front());
    lane->pop_front();
    const auto work = work_tokens(taken);
    m_order.erase({entry.virtual_start, team});
    m_virtual_time = std::max(m_virtual_time, entry.virtual_start);
    entry.virtual_start += static_cast<double>(work) / entry.weight;
    m_order.emplace(entry.virtual_start, team);
    update_rate(work, now);
    remove_work(team, entry, work, 1);
    return taken;
}

void admission_queue::remove_work(base::team_id team, team_queue& entry, std::int64_t amount,
                                  std::size_t count)
{
    entry.tokens -= amount;
    m_tokens -= amount;
    entry.size -= count;
    m_size -= count;
    if (entry.size > 0) {
        return;
    }
    m_order.erase({entry.virtual_start, team});
    m_weights -= entry.weight;
    if (entry.virtual_start > m_virtual_time - burst_for(entry.weight)) {
        if (m_idle_times.size() >= max_idle_times) {
            m_idle_times.clear();
        }
        m_idle_times[team] = entry.virtual_start;
    }
    m_teams.erase(team);
}

void admission_queue::update_rate(std::int64_t amount, base::time_point now)
{
    m_taken_tokens += amount;
    const std::chrono::duration<double> span = now - m_busy_since;
    if (span < rate_interval) {
        return;
    }
    const auto sample = static_cast<double>(m_taken_tokens) / span.count();
    m_rate = m_rate == 0 ? sample : m_rate + rate_smoothing * (sample - m_rate);
    m_busy_since = now;
    m_taken_tokens = 0;
}

std::vector<base::team_id> admission_queue::waiting_teams() const
{
    std::vector<base::team_id> teams;
    teams.reserve(m_order.size());
    for (const auto& [virtual_start, team] : m_order) {
        teams.push_back(team);
    }
    return teams;
}

std::vector<request> admission_queue::take_expired(base::milliseconds needed, base::time_point now)
{
    return take_if([&](const request& waiting) { return now + needed > waiting.deadline; }, m_size);
}

double admission_queue::mean_work() const
{
    return m_size == 0 ? 0 : static_cast<double>(m_tokens) / static_cast<double>(m_size);
}

bool admission_queue::remove(request_id id)
{
    return !take_if([&](const request& waiting) { return waiting.id == id; }, 1).empty();
}

base::milliseconds admission_queue::expected_delay(base::team_id team, std::uint32_t weight,
                                                   double fallback_rate) const
{
    const auto rate = m_rate > 0 ? m_rate : fallback_rate;
    if (m_size == 0 || rate <= 0) {
        return base::milliseconds{0};
    }
    const auto found = m_teams.find(team);
    const auto queued = found == m_teams.end() ? 0.0 : static_cast<double>(found->second.tokens);
    const auto shares = std::max(weight, 1U);
    const auto virtual_start =
        found == m_teams.end() ? virtual_start_of(team, shares) : found->second.virtual_start;
    const auto weights = found == m_teams.end() ? m_weights + shares : m_weights;
    const auto behind = std::max(virtual_start + queued / shares - m_virtual_time, 0.0);
    const auto fair = (queued + mean_work() + behind * static_cast<double>(weights)) / rate;
    const auto all = static_cast<double>(m_tokens) / rate;
    constexpr double milliseconds_per_second = 1000.0;
    return base::milliseconds{std::llround(std::min(fair, all) * milliseconds_per_second)};
}

std::size_t admission_queue::size_of(base::team_id team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.size;
}

} // namespace chicorylink::routing
