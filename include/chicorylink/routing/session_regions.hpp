#ifndef CHICORYLINK_ROUTING_SESSION_REGIONS_HPP
#define CHICORYLINK_ROUTING_SESSION_REGIONS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/prefix.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace chicorylink::routing {

/// @brief Maps forwarded sessions to the regions that cache their prefixes.
///
/// A fixed-size table in which a newer session replaces an older one in the same slot. A lost entry
/// means that a prefix is computed again.
class session_regions {
public:
    /// The number of sessions in the table.
    static constexpr std::size_t capacity = 4096;

    session_regions();

    /// @brief Records that a session was sent to a region.
    void remember(prefix_hash session, base::region_id region, base::time_point now);

    /// @brief The region that caches the session's prefix; none if there is no valid entry.
    [[nodiscard]] std::optional<base::region_id> find(prefix_hash session,
                                                      base::time_point now) const;

    /// @brief The memory used by the table, in bytes.
    [[nodiscard]] static constexpr std::size_t memory_bytes() { return capacity * sizeof(entry); }

private:
    struct entry {
        prefix_hash session;
        base::region_id region;
        base::time_point seen{};
    };

    std::vector<entry> m_entries;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_SESSION_REGIONS_HPP
