#include "chicorylink/fleet/limited_regions.hpp"

#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/placement.hpp"
#include "chicorylink/fleet/target_pool.hpp"

namespace chicorylink::fleet {

std::optional<service_rate> limited_service(const target_pool& pool, const service_name& service,
                                            base::time_point now)
{
    const double rate = pool.limited_rate(service, now);
    if (rate <= 0 || usable_targets(pool, service, now) > 0) {
        return std::nullopt;
    }
    return service_rate{base::hash_name(service.text()), rate};
}

std::vector<limited_region> limited_regions(const region_digests& digests,
                                            const service_name& service, base::time_point now)
{
    const auto service_hash = base::hash_name(service.text());
    std::vector<limited_region> regions;
    for (const auto& digest : digests.recent(now)) {
        for (const auto& entry : digest.limited_services) {
            if (entry.service == service_hash && entry.per_second >= min_requests_per_second) {
                auto destination = region_without_digest(digest.region);
                if (digest.round_trip.count() > 0) {
                    destination.round_trip = digest.round_trip;
                }
                regions.push_back({destination, entry.per_second});
            }
        }
    }
    return regions;
}

} // namespace chicorylink::fleet
