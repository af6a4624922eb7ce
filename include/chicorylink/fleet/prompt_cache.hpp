#ifndef CHICORYLINK_FLEET_PROMPT_CACHE_HPP
#define CHICORYLINK_FLEET_PROMPT_CACHE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/prompt.hpp"

#include <cstdint>
#include <unordered_map>

namespace chicorylink::fleet {

/// @brief The prompt parts that an engine is believed to hold, by what was sent there. A hint.
class prompt_cache {
public:
    /// A part not used for so long is taken to have been evicted.
    static constexpr base::milliseconds keep_time{30'000};

    prompt_cache() = default;

    /// @param capacity Tokens that the memory of the engine holds; 0 when unknown.
    void set_capacity(std::uint64_t capacity) { m_capacity = capacity; }

    /// @brief Notes that the engine reads a prompt.
    void note_read(const prompt& read, base::time_point now);

    /// @brief The leading tokens of a prompt that the engine is believed to hold.
    [[nodiscard]] std::uint32_t cached_tokens(const prompt& asked, base::time_point now) const;

    void clear()
    {
        m_parts.clear();
        m_tokens = 0;
    }

private:
    struct entry {
        std::uint32_t tokens = 0;
        base::time_point used_at{};
    };

    void evict(base::time_point now);

    std::unordered_map<std::uint64_t, entry> m_parts;
    std::uint64_t m_capacity = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PROMPT_CACHE_HPP
