#ifndef CHICORYLINK_ROUTING_OTHER_REGION_HPP
#define CHICORYLINK_ROUTING_OTHER_REGION_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::routing {

/// A summary older than this says nothing; the region is not sent work.
inline constexpr base::milliseconds summary_bound{3000};

/// The time over which the use of a link is averaged.
inline constexpr base::milliseconds link_use_term{1000};

/// @brief What is known here of one route's pool in another region and of the link to it.
struct other_region {
    base::region_id region;
    std::uint32_t slots = 0;
    std::uint32_t free_slots = 0;
    base::milliseconds queue_delay{0};
    std::optional<base::time_point> reported_at;
    /// Requests forwarded there from here since the last summary.
    std::uint32_t sent_since_report = 0;
    /// Requests forwarded there from here that are not finished.
    std::uint32_t in_flight = 0;

    base::milliseconds link_delay{55};
    base::bytes_per_second link_rate{250'000'000};
    base::milliseconds price_per_megabyte{0};
    /// Bytes a second that this VM sends over the link, averaged; measured up to `link_used_at`.
    double link_used = 0;
    base::time_point link_used_at{};
    /// When the last forward failed; the region is left alone for a while after it.
    std::optional<base::time_point> failed_at;
    /// Whether work flows there now; leaving takes more than staying away.
    bool spilling = false;
};

/// @brief Adds bytes to the measured use of the link.
void on_link_bytes(other_region& where, base::bytes amount, base::time_point now);

/// @brief The measured use of the link, in bytes a second.
[[nodiscard]] double link_use(const other_region& where, base::time_point now);

/// @brief Whether work may be sent there by what is known of it: a recent summary and no recent
/// failure.
[[nodiscard]] bool reachable(const other_region& where, base::time_point now);

/// @brief The free slots that remain there after the work that all VMs here may have sent since.
[[nodiscard]] std::int64_t remaining_free_slots(const other_region& where, std::uint32_t sharers);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_OTHER_REGION_HPP
