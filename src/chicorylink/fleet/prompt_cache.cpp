#include "chicorylink/fleet/prompt_cache.hpp"

#include <algorithm>
#include <vector>

namespace chicorylink::fleet {
namespace {

/// Fraction of an engine's memory that cached prompts are assumed to fill; running requests take
/// the rest.
constexpr double cached_fraction = 0.85;

/// Capacity assumed for an engine whose memory is unknown.
constexpr std::uint64_t default_capacity_tokens = 400'000;

} // namespace

void prompt_cache::note_read(const prompt& read, base::time_point now, base::time_point ready_at)
{
    for (const auto& part : read.parts) {
        auto [found, is_new] = m_parts.try_emplace(part.chain);
        if (is_new) {
            m_tokens += part.tokens;
            found->second.tokens = part.tokens;
            found->second.ready_at = ready_at;
        }
        else if (now - found->second.used_at > max_idle_time) {
            found->second.ready_at = ready_at;
        }
        found->second.used_at = now;
    }
    const auto memory = m_capacity == 0 ? default_capacity_tokens : m_capacity;
    if (static_cast<double>(m_tokens) > cached_fraction * static_cast<double>(memory)) {
        evict(now);
    }
}

void prompt_cache::evict(base::time_point now)
{
    // Drops the oldest quarter at once, so that the entries are seldom sorted.
    constexpr std::size_t dropped_divisor = 4;
    std::vector<base::time_point> times;
    times.reserve(m_parts.size());
    for (const auto& [chain, part] : m_parts) {
        times.push_back(part.used_at);
    }
    const auto oldest_kept =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / dropped_divisor);
    std::nth_element(times.begin(), oldest_kept, times.end());
    const auto bound = std::max(*oldest_kept, now - max_idle_time);
    for (auto part = m_parts.begin(); part != m_parts.end();) {
        if (part->second.used_at < bound) {
            m_tokens -= part->second.tokens;
            part = m_parts.erase(part);
        }
        else {
            ++part;
        }
    }
}

std::uint32_t prompt_cache::cached_tokens(const prompt& request_prompt, base::time_point now) const
{
    return count_tokens(request_prompt, now, base::time_point::max());
}

std::uint32_t prompt_cache::ready_tokens(const prompt& request_prompt, base::time_point now) const
{
    return count_tokens(request_prompt, now, now);
}

std::uint32_t prompt_cache::count_tokens(const prompt& request_prompt, base::time_point now,
                                         base::time_point ready_by) const
{
    std::uint32_t cached = 0;
    for (const auto& part : request_prompt.parts) {
        const auto found = m_parts.find(part.chain);
        if (found == m_parts.end() || now - found->second.used_at > max_idle_time ||
            found->second.ready_at > ready_by) {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

} // namespace chicorylink::fleet
