#include "chicorylink/routing/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorylink::routing {
namespace {

/// A request costs at least this much, so that many small ones don't go ahead for free.
constexpr std::int64_t least_work = 64;

/// Weight of a token of the answer against one of the prompt: it takes far longer to make.
constexpr std::int64_t answer_token_weight = 8;

/// The span over which the rate at which work leaves the queue is measured.
constexpr std::chrono::duration<double> rate_span{1.0};

constexpr double rate_smoothing = 0.5;

/// Work that a team which used less than its share may have done before others. Without it one long
/// request would hold a small team back for the time that its share needs to pay for it.
constexpr double burst_work = 60'000;

double burst_of(std::uint32_t weight)
{
    return burst_work / weight;
}

/// Idle teams whose virtual time is remembered.
constexpr std::size_t max_ahead = 4096;

} // namespace

std::int64_t work_tokens(const request& asked)
{
    const auto work =
        asked.prompt_tokens.value() + asked.answer_tokens.value() * answer_token_weight;
    return std::max(work, least_work);
}

admission_queue::admission_queue(queue_limits limits) : m_limits(limits) {}

refusal_reason admission_queue::push(request waiting, std::uint32_t weight, base::time_point now)
{
    if (m_size >= m_limits.total) {
        return refusal_reason::queue_full;
    }
    if (size_of(waiting.team) >= m_limits.per_team) {
        return refusal_reason::team_queue_full;
    }
    if (m_size == 0) {
        m_busy_since = now;
        m_taken_tokens = 0;
    }
    const auto who = waiting.team;
    auto& entry = m_teams[who];
    if (entry.size == 0) {
        entry.weight = std::max(weight, 1U);
        entry.start = start_of(who, entry.weight);
        m_ahead.erase(who);
        m_order.emplace(entry.start, who);
        m_weights += entry.weight;
    }
    const auto work = work_tokens(waiting);
    entry.tokens += work;
    m_tokens += work;
    ++entry.size;
    ++m_size;
    entry.waiting[static_cast<std::size_t>(waiting.order)].push_back(std::move(waiting));
    return refusal_reason::none;
}

double admission_queue::start_of(base::team_id who, std::uint32_t weight) const
{
    const auto ahead = m_ahead.find(who);
    const auto earliest = m_virtual_time - burst_of(weight);
    return ahead == m_ahead.end() ? earliest : std::max(earliest, ahead->second);
}

std::optional<request> admission_queue::pop(base::time_point now)
{
    if (m_order.empty()) {
        return std::nullopt;
    }
    return take(m_order.begin()->second, now);
}

const request& admission_queue::head_of(base::team_id who) const
{
    const auto& lanes = m_teams.at(who).waiting;
    const auto lane =
        std::find_if(lanes.begin(), lanes.end(), [](const auto& one) { return !one.empty(); });
    return lane->front();
}

request admission_queue::take(base::team_id who, base::time_point now)
{
    auto& entry = m_teams.at(who);
    auto lane = std::find_if(entry.waiting.begin(), entry.waiting.end(),
                             [](const auto& one) { return !one.empty(); });
    request taken = std::move(lane->front());
    lane->pop_front();
    const auto work = work_tokens(taken);
    m_order.erase({entry.start, who});
    m_virtual_time = std::max(m_virtual_time, entry.start);
    entry.start += static_cast<double>(work) / entry.weight;
    m_order.emplace(entry.start, who);
    measure(work, now);
    forget_work(who, entry, work, 1);
    return taken;
}

void admission_queue::forget_work(base::team_id who, team_queue& entry, std::int64_t amount,
                                  std::size_t count)
{
    entry.tokens -= amount;
    m_tokens -= amount;
    entry.size -= count;
    m_size -= count;
    if (entry.size > 0) {
        return;
    }
    m_order.erase({entry.start, who});
    m_weights -= entry.weight;
    if (entry.start > m_virtual_time - burst_of(entry.weight)) {
        if (m_ahead.size() >= max_ahead) {
            m_ahead.clear();
        }
        m_ahead[who] = entry.start;
    }
    m_teams.erase(who);
}

void admission_queue::measure(std::int64_t amount, base::time_point now)
{
    m_taken_tokens += amount;
    const std::chrono::duration<double> span = now - m_busy_since;
    if (span < rate_span) {
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
    for (const auto& [start, who] : m_order) {
        teams.push_back(who);
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

base::milliseconds admission_queue::expected_delay(base::team_id who, std::uint32_t weight,
                                                   double fallback_rate) const
{
    const auto rate = m_rate > 0 ? m_rate : fallback_rate;
    if (m_size == 0 || rate <= 0) {
        return base::milliseconds{0};
    }
    const auto found = m_teams.find(who);
    const auto queued = found == m_teams.end() ? 0.0 : static_cast<double>(found->second.tokens);
    const auto shares = std::max(weight, 1U);
    const auto start = found == m_teams.end() ? start_of(who, shares) : found->second.start;
    const auto weights = found == m_teams.end() ? m_weights + shares : m_weights;
    const auto behind = std::max(start + queued / shares - m_virtual_time, 0.0);
    const auto fair = (queued + mean_work() + behind * static_cast<double>(weights)) / rate;
    const auto all = static_cast<double>(m_tokens) / rate;
    constexpr double milliseconds_per_second = 1000.0;
    return base::milliseconds{std::llround(std::min(fair, all) * milliseconds_per_second)};
}

std::size_t admission_queue::size_of(base::team_id who) const
{
    const auto found = m_teams.find(who);
    return found == m_teams.end() ? 0 : found->second.size;
}

} // namespace chicorylink::routing
