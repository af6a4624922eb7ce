#include "chicorylink/front/request_memory.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::front {
namespace {

/// Part of the memory that requests may hold. Responses take up to another quarter while their
/// buffers grow, and a body is held twice for a moment when its buffer grows.
constexpr std::size_t memory_divisor = 4;

} // namespace

request_memory::request_memory(std::size_t memory_bytes) : m_limit(memory_bytes / memory_divisor) {}

unfinished_key request_memory::open()
{
    const unfinished_key key{++m_last_key};
    m_unfinished.emplace(key, unfinished{});
    return key;
}

void request_memory::close(unfinished_key key)
{
    set_unfinished(key, 0, {});
    m_unfinished.erase(key);
}

void request_memory::set_unfinished(unfinished_key key, std::size_t bytes, base::time_point now)
{
    auto& entry = m_unfinished.at(key);
    if (entry.bytes == 0 && bytes > 0) {
        entry.since = now;
        ++m_unfinished_requests;
    }
    if (entry.bytes > 0 && bytes == 0) {
        --m_unfinished_requests;
        m_paused_requests -= entry.paused_at ? 1 : 0;
        entry.paused_at.reset();
    }
    const auto before = std::exchange(entry.bytes, bytes);
    m_unfinished_bytes = m_unfinished_bytes - before + bytes;
    if (bytes > before) {
        add(bytes - before);
    }
    else {
        remove(before - bytes);
    }
}

void request_memory::note_paused(unfinished_key key, base::time_point now)
{
    auto& entry = m_unfinished.at(key);
    if (!entry.paused_at) {
        entry.paused_at = now;
        ++m_paused_requests;
    }
}

base::milliseconds request_memory::note_resumed(unfinished_key key, base::time_point now)
{
    auto& entry = m_unfinished.at(key);
    if (!entry.paused_at) {
        return base::milliseconds{0};
    }
    --m_paused_requests;
    const auto paused_at = *std::exchange(entry.paused_at, std::nullopt);
    return std::chrono::duration_cast<base::milliseconds>(now - paused_at);
}

bool request_memory::is_paused(unfinished_key key) const
{
    return m_unfinished.at(key).paused_at.has_value();
}

void request_memory::add(std::size_t bytes)
{
    m_held += bytes;
    m_is_full = m_is_full || m_held > high_watermark();
}

void request_memory::remove(std::size_t bytes)
{
    m_held -= std::min(bytes, m_held);
    m_is_full = m_is_full && m_held > low_watermark();
}

bool request_memory::may_read(std::size_t bytes) const
{
    return !m_is_full || (bytes <= small_request_bytes && m_held <= m_limit);
}

std::optional<unfinished_key> request_memory::largest() const
{
    std::optional<unfinished_key> found;
    std::size_t most = 0;
    base::time_point since{};
    for (const auto& [key, entry] : m_unfinished) {
        const auto size = (entry.bytes + size_step_bytes - 1) / size_step_bytes;
        if (size > most || (size == most && size > 0 && entry.since < since)) {
            found = key;
            most = size;
            since = entry.since;
        }
    }
    return found;
}

std::optional<request_memory::shed_choice> request_memory::to_shed(base::time_point now) const
{
    if (!m_is_full || m_unfinished_requests == 0) {
        return std::nullopt;
    }
    if (m_held > m_limit) {
        return shed_choice{*largest(), shed_cause::over_limit};
    }
    // Complete requests end by themselves. Without what they hold, too much would be left.
    if (m_unfinished_bytes > low_watermark()) {
        return shed_choice{*largest(), shed_cause::over_watermark};
    }
    if (m_paused_requests > 0) {
        for (const auto& [key, entry] : m_unfinished) {
            if (entry.paused_at && now - *entry.paused_at >= longest_pause) {
                return shed_choice{key, shed_cause::paused_too_long};
            }
        }
    }
    return std::nullopt;
}

} // namespace chicorylink::front
