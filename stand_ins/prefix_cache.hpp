#ifndef CHICORYLINK_STAND_INS_PREFIX_CACHE_HPP
#define CHICORYLINK_STAND_INS_PREFIX_CACHE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <utility>

namespace chicorylink::stand_ins {

/// @brief The hashes of the most recently used prompt prefixes.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t limit) : m_limit(limit) {}

    /// @brief Marks a prefix as most recently used.
    /// @return Whether it was cached.
    bool touch(std::uint64_t prefix)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = std::find(m_entries.begin(), m_entries.end(), prefix);
        const bool was_cached = found != m_entries.end();
        if (was_cached) {
            m_entries.erase(found);
        }
        m_entries.push_front(prefix);
        if (m_entries.size() > m_limit) {
            m_entries.pop_back();
        }
        return was_cached;
    }

    /// @brief All cached hashes, most recently used first.
    [[nodiscard]] std::deque<std::uint64_t> entries() const
    {
        const std::lock_guard lock(m_mutex);
        return m_entries;
    }

private:
    mutable std::mutex m_mutex;
    std::size_t m_limit;
    std::deque<std::uint64_t> m_entries;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_PREFIX_CACHE_HPP
