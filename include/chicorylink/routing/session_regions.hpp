#ifndef CHICORYLINK_ROUTING_SESSION_REGIONS_HPP
#define CHICORYLINK_ROUTING_SESSION_REGIONS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/prefix.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace chicorylink::routing {

/// @brief The other regions that hold the prefixes of sessions which were sent there.
///
/// A table of fixed size in which a newer session takes the place of an older one; what is
/// forgotten costs a prefix that is computed again.
class session_regions {
public:
    /// The number of sessions that are remembered.
    static constexpr std::size_t capacity = 4096;

    session_regions();

    /// @brief Notes that a session was sent to a region.
    void remember(prefix_hash session, base::region_id region, base::time_point now);

    /// @brief The region that holds the session's prefix; none when it never left or was forgotten.
    [[nodiscard]] std::optional<base::region_id> find(prefix_hash session,
                                                      base::time_point now) const;

    /// @brief The memory of the table.
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
