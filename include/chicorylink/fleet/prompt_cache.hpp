#ifndef CHICORYLINK_FLEET_PROMPT_CACHE_HPP
#define CHICORYLINK_FLEET_PROMPT_CACHE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/prompt.hpp"

#include <cstdint>
#include <unordered_map>

namespace chicorylink::fleet {

/// @brief Estimate of the prompt parts in an engine's cache, based on the requests sent to it.
class prompt_cache {
public:
    /// A part that was not used for this time is assumed to be evicted.
    static constexpr base::milliseconds max_idle_time{30'000};

    prompt_cache() = default;

    /// @param capacity Capacity of the engine's memory, in tokens; 0 when unknown.
    void set_capacity(std::uint64_t capacity) { m_capacity = capacity; }

    /// @brief Records that the engine reads a prompt.
    /// @param ready_at When the engine is expected to have read it.
    void note_read(const prompt& read, base::time_point now, base::time_point ready_at);
    void note_read(const prompt& read, base::time_point now) { note_read(read, now, now); }

    /// @brief Number of leading tokens of a prompt that are assumed to be cached.
    [[nodiscard]] std::uint32_t cached_tokens(const prompt& request_prompt,
                                              base::time_point now) const;

    /// @brief The same, without the parts that the engine has not read yet: another engine can only
    /// fetch what is there.
    [[nodiscard]] std::uint32_t ready_tokens(const prompt& request_prompt,
                                             base::time_point now) const;

    void clear()
    {
        m_parts.clear();
        m_tokens = 0;
    }

private:
    struct entry {
        std::uint32_t tokens = 0;
        base::time_point used_at{};
        base::time_point ready_at{};
    };

    [[nodiscard]] std::uint32_t count_tokens(const prompt& request_prompt, base::time_point now,
                                             base::time_point ready_by) const;
    void evict(base::time_point now);

    std::unordered_map<std::uint64_t, entry> m_parts;
    std::uint64_t m_capacity = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PROMPT_CACHE_HPP
