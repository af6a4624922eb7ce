#include "chicorylink/fleet/prompt_cache.hpp"

#include <algorithm>
#include <vector>

namespace chicorylink::fleet {
namespace {

/// Part of an engine's memory that cached prompts are taken to fill; running requests take the
/// rest.
constexpr double cached_part_of_memory = 0.85;

/// What a process remembers of one engine when its memory is not known.
constexpr std::uint64_t default_capacity_tokens = 400'000;

} // namespace

void prompt_cache::note_read(const prompt& read, base::time_point now)
{
    for (const auto& part : read.parts) {
        auto [found, is_new] = m_parts.try_emplace(part.chain);
        if (is_new) {
            m_tokens += part.tokens;
            found->second.tokens = part.tokens;
        }
        found->second.used_at = now;
    }
    const auto memory = m_capacity == 0 ? default_capacity_tokens : m_capacity;
    if (static_cast<double>(m_tokens) > cached_part_of_memory * static_cast<double>(memory)) {
        evict(now);
    }
}

void prompt_cache::evict(base::time_point now)
{
    // Drops the oldest quarter at once, so that the cost of sorting is rare.
    constexpr std::size_t dropped_part = 4;
    std::vector<base::time_point> times;
    times.reserve(m_parts.size());
    for (const auto& [chain, part] : m_parts) {
        times.push_back(part.used_at);
    }
    const auto oldest_kept =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / dropped_part);
    std::nth_element(times.begin(), oldest_kept, times.end());
    const auto bound = std::max(*oldest_kept, now - keep_time);
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

std::uint32_t prompt_cache::cached_tokens(const prompt& asked, base::time_point now) const
{
    std::uint32_t cached = 0;
    for (const auto& part : asked.parts) {
        const auto found = m_parts.find(part.chain);
        if (found == m_parts.end() || now - found->second.used_at > keep_time) {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

} // namespace chicorylink::fleet
