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

/// @brief A guess that a target holds the beginning of a prompt.
struct prefix_holder {
    base::target_id target;
    /// The number of the prompt's blocks that it is believed to hold.
    std::size_t blocks = 0;
};

/// @brief Which targets are believed to hold which prefixes.
///
/// Filled from the work sent from here and from cache events, which come late and with gaps: an
/// entry may be wrong and is used to rank targets only. The memory is fixed: a table of small
/// buckets in which the oldest entry makes room for a new one.
class prefix_hints {
public:
    /// @param capacity The number of entries; rounded up to a power of two.
    explicit prefix_hints(std::size_t capacity);

    /// @brief Notes that a target was sent a prompt, or reported to hold it.
    void remember(std::span<const prefix_hash> blocks, base::target_id holder,
                  base::time_point now);

    /// @brief Drops what is believed of a target, such as after its restart.
    void forget(base::target_id holder);

    /// @brief The targets that hold the longest beginnings of a prompt, longest first.
    /// @param found Receives the holders; its length bounds their number.
    /// @return The number of holders written.
    [[nodiscard]] std::size_t find(std::span<const prefix_hash> blocks, base::time_point now,
                                   std::span<prefix_holder> found) const;

    [[nodiscard]] std::size_t capacity() const { return m_entries.size(); }

    /// @brief The memory of the table.
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
