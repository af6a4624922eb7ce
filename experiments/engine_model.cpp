#include "engine_model.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chicorylink::experiment {
namespace {

constexpr double nanoseconds_per_millisecond = 1e6;

base::nanoseconds round_up(double nanoseconds)
{
    return base::nanoseconds{std::llround(std::ceil(nanoseconds))};
}

} // namespace

engine_model::engine_model(engine_traits traits) : m_traits(traits) {}

void engine_model::submit(engine_job job, base::time_point now)
{
    advance_steps(now);
    m_waiting[static_cast<std::size_t>(job.order)].push_back(std::move(job));
    fill_slots(now);
}

void engine_model::cancel(std::uint64_t id, base::time_point now)
{
    advance_steps(now);
    for (auto& queue : m_waiting) {
        std::erase_if(queue, [&](const engine_job& job) { return job.id == id; });
    }
    const auto was_prefilling = !m_prefill.empty() && m_prefill.front() == id;
    std::erase(m_prefill, id);
    if (was_prefilling) {
        m_prefill_done.reset();
    }
    std::erase_if(m_decoding, [&](const auto& entry) { return entry.second == id; });
    if (m_running.contains(id)) {
        release(id, now);
    }
    begin_prefill(now);
    fill_slots(now);
}

std::optional<base::time_point> engine_model::next_event() const
{
    auto next = m_prefill_done;
    if (!m_decoding.empty()) {
        const auto steps = std::max(m_decoding.begin()->first - m_steps, 0.0);
        const auto at = m_steps_updated_at + round_up(steps * step_nanoseconds());
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

std::vector<engine_event> engine_model::advance(base::time_point now)
{
    constexpr double step_tolerance = 1e-6;
    std::vector<engine_event> events;
    advance_steps(now);
    while (!m_decoding.empty() && m_decoding.begin()->first <= m_steps + step_tolerance) {
        const auto id = m_decoding.begin()->second;
        m_decoding.erase(m_decoding.begin());
        add_to_cache(m_running.at(id).job.blocks);
        release(id, now);
        events.push_back({engine_event::kind::finished, id, now});
    }
    if (m_prefill_done && *m_prefill_done <= now) {
        const auto id = m_prefill.front();
        m_prefill.pop_front();
        m_prefill_done.reset();
        auto& entry = m_running.at(id);
        add_to_cache(entry.job.blocks);
        entry.decoding = true;
        entry.finish_step = m_steps + static_cast<double>(entry.job.answer_tokens);
        m_decoding.emplace(entry.finish_step, id);
        events.push_back({engine_event::kind::first_token, id, now});
    }
    fill_slots(now);
    begin_prefill(now);
    return events;
}

std::vector<std::uint64_t> engine_model::restart(base::time_point now)
{
    std::vector<std::uint64_t> lost;
    advance_steps(now);
    for (auto& queue : m_waiting) {
        for (const auto& job : queue) {
            lost.push_back(job.id);
        }
        queue.clear();
    }
    for (const auto& [id, entry] : m_running) {
        lost.push_back(id);
    }
    std::sort(lost.begin(), lost.end());
    for (const auto id : lost) {
        if (m_running.contains(id)) {
            release(id, now);
        }
    }
    m_prefill.clear();
    m_prefill_done.reset();
    m_decoding.clear();
    m_lru_blocks.clear();
    m_cache.clear();
    return lost;
}

void engine_model::set_slowdown(double factor, base::time_point now)
{
    advance_steps(now);
    m_traits.slowdown = factor;
}

routing::load_report engine_model::report() const
{
    std::size_t waiting = 0;
    for (const auto& queue : m_waiting) {
        waiting += queue.size();
    }
    return {.running = static_cast<std::uint32_t>(m_running.size()),
            .waiting = static_cast<std::uint32_t>(waiting),
            .slots = m_traits.slots};
}

double engine_model::target_seconds() const
{
    return m_slot_seconds / m_traits.slots;
}

double engine_model::step_nanoseconds() const
{
    const auto batch = static_cast<double>(m_decoding.size());
    return (m_traits.step_ms + m_traits.step_ms_per_request * batch) * m_traits.slowdown *
           nanoseconds_per_millisecond;
}

void engine_model::advance_steps(base::time_point now)
{
    if (!m_decoding.empty()) {
        m_steps += static_cast<double>((now - m_steps_updated_at).count()) / step_nanoseconds();
    }
    m_steps_updated_at = now;
}

void engine_model::fill_slots(base::time_point now)
{
    for (auto& queue : m_waiting) {
        while (!queue.empty() && m_running.size() < m_traits.slots) {
            auto job = std::move(queue.front());
            queue.pop_front();
            const auto id = job.id;
            m_running.emplace(id, running_job{.job = std::move(job), .slot_since = now});
            m_prefill.push_back(id);
        }
    }
    begin_prefill(now);
}

void engine_model::begin_prefill(base::time_point now)
{
    if (m_prefill_done || m_prefill.empty()) {
        return;
    }
    const auto& job = m_running.at(m_prefill.front()).job;
    const auto cached_tokens =
        static_cast<std::int64_t>(touch_cached_blocks(job.blocks)) * routing::prefix_block_tokens;
    const auto uncached_tokens = std::max<std::int64_t>(job.prompt_tokens - cached_tokens, 0);
    m_prefilled_tokens += uncached_tokens;
    const auto prefill_ms =
        static_cast<double>(uncached_tokens) / m_traits.prefill_tokens_per_ms + m_traits.step_ms;
    m_prefill_done = now + round_up(prefill_ms * m_traits.slowdown * nanoseconds_per_millisecond);
}

void engine_model::release(std::uint64_t id, base::time_point now)
{
    const std::chrono::duration<double> held = now - m_running.at(id).slot_since;
    m_slot_seconds += held.count();
    m_running.erase(id);
}

std::size_t engine_model::touch_cached_blocks(const std::vector<routing::prefix_hash>& blocks)
{
    std::size_t depth = 0;
    while (depth < blocks.size() && m_cache.contains(blocks[depth])) {
        m_lru_blocks.splice(m_lru_blocks.begin(), m_lru_blocks, m_cache.at(blocks[depth]));
        ++depth;
    }
    return depth;
}

void engine_model::add_to_cache(const std::vector<routing::prefix_hash>& blocks)
{
    for (const auto block : blocks) {
        const auto known = m_cache.find(block);
        if (known != m_cache.end()) {
            m_lru_blocks.splice(m_lru_blocks.begin(), m_lru_blocks, known->second);
            continue;
        }
        m_lru_blocks.push_front(block);
        m_cache.emplace(block, m_lru_blocks.begin());
        if (m_cache.size() > m_traits.cache_blocks) {
            m_cache.erase(m_lru_blocks.back());
            m_lru_blocks.pop_back();
        }
    }
}

} // namespace chicorylink::experiment
