#ifndef CHICORYLINK_FLEET_LIMITED_REGIONS_HPP
#define CHICORYLINK_FLEET_LIMITED_REGIONS_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/rate_pacer.hpp"
#include "chicorylink/fleet/region_choice.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace chicorylink::fleet {

class target_pool;

/// @brief Another region in which all usable targets of a service limit their rate. It has no
/// capacity to spare, but a request that no other region can serve may still be served there.
struct limited_region {
    remote_region destination;
    /// Requests per second that its targets take from all VMs together.
    double per_second = 0;
};

/// @brief Spaces the requests that a VM sends to other regions whose targets limit their rate. The
/// region keeps the limit; a request beyond it would only be refused a round trip later.
using region_pacer = rate_pacer<std::pair<region_name, service_name>>;

/// @brief The rate that a service takes in this region if all of its usable targets limit theirs.
[[nodiscard]] std::optional<service_rate>
limited_service(const target_pool& pool, const service_name& service, base::time_point now);

/// @brief The other regions in which all usable targets of a service limit their rate.
[[nodiscard]] std::vector<limited_region>
limited_regions(const region_digests& digests, const service_name& service, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_LIMITED_REGIONS_HPP
