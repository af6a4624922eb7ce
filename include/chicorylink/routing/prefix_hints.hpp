#ifndef CHICORYLINK_ROUTING_PREFIX_HINTS_HPP
#define CHICORYLINK_ROUTING_PREFIX_HINTS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/prefix.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace chicorylink::routing {

/// @brief A target that probably caches a prefix of a prompt.
struct prefix_holder {
    base::target_id target;
    /// The estimated number of the prompt's blocks in its cache.
    std::size_t blocks = 0;
};

/// @brief Estimates which targets cache which prefixes.
///
/// Filled from requests sent by this VM and from cache events, which arrive late and with gaps. An
/// entry may be wrong, so it is used only to rank targets. Memory is fixed: a table of small
/// buckets in which a new entry replaces the oldest one.
class prefix_hints {
public:
    /// @param capacity The number of entries; rounded up to a power of two.
    explicit prefix_hints(std::size_t capacity);

    /// @brief Records that a target was sent a prompt or reported caching it.
    void remember(std::span<const prefix_hash> blocks, base::target_id holder,
                  base::time_point now);

    /// @brief Removes all entries of a target, for example after its restart.
    void remove(base::target_id holder);

    /// @brief Finds the targets with the longest cached prefixes of a prompt, longest first.
    /// @param found Receives the holders; its size limits their number.
    /// @return The number of holders written.
    [[nodiscard]] std::size_t find(std::span<const prefix_hash> blocks, base::time_point now,
                                   std::span<prefix_holder> found) const;

    [[nodiscard]] std::size_t capacity() const { return m_entries.size(); }

    /// @brief The memory used by the table, in bytes.
    [[nodiscard]] std::size_t memory_bytes() const { return m_entries.size() * sizeof(entry); }

private:
    struct entry {
        prefix_hash hash;
        base::target_id holder;
        base::time_point seen{};
    };

    [[nodiscard]] std::span<entry> bucket(prefix_hash hash);
    [[nodiscard]] std::span<const entry> bucket(prefix_hash hash) const;

    std::vector<entry> m_entries;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_PREFIX_HINTS_HPP
