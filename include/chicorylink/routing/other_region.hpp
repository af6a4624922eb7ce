#ifndef CHICORYLINK_ROUTING_OTHER_REGION_HPP
#define CHICORYLINK_ROUTING_OTHER_REGION_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::routing {

/// No work is sent to a region whose last summary is older than this, because it no longer shows
/// the region's load.
inline constexpr base::milliseconds max_summary_age{3000};

/// Time constant for averaging link usage.
inline constexpr base::milliseconds link_use_window{1000};

/// @brief This VM's view of one route's pool in another region and of the link to it.
struct other_region {
    base::region_id region;
    std::uint32_t slots = 0;
    std::uint32_t free_slots = 0;
    base::milliseconds queue_delay{0};
    std::optional<base::time_point> reported_at;
    /// Requests that this VM forwarded there since the last summary.
    std::uint32_t sent_since_report = 0;
    /// Unfinished requests that this VM forwarded there.
    std::uint32_t in_flight = 0;

    base::milliseconds link_delay{55};
    base::bytes_per_second link_rate{250'000'000};
    base::milliseconds price_per_megabyte{0};
    /// Average bytes per second that this VM sends over the link, as of `link_used_at`.
    double link_used = 0;
    base::time_point link_used_at{};
    /// When the last forward failed; the region is avoided for a while afterwards.
    std::optional<base::time_point> failed_at;
    /// Whether requests are being forwarded there; starting takes a longer local wait than
    /// continuing.
    bool forwarding = false;
};

/// @brief Adds bytes to the measured link usage.
void on_link_bytes(other_region& destination, base::bytes amount, base::time_point now);

/// @brief The measured link usage, in bytes per second.
[[nodiscard]] double link_use(const other_region& destination, base::time_point now);

/// @brief Whether the region can be sent work: it has a recent summary and no recent failure.
[[nodiscard]] bool reachable(const other_region& destination, base::time_point now);

/// @brief Estimated free slots there, less what the VMs of this region may have sent since the
/// summary.
[[nodiscard]] std::int64_t remaining_free_slots(const other_region& destination,
                                                std::uint32_t vm_count);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_OTHER_REGION_HPP
