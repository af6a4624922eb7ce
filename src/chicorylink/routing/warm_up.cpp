#include "chicorylink/routing/warm_up.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylink::routing {

double warm_up_share(std::optional<base::time_point> since, base::time_point now)
{
    if (!since || now - *since >= warm_up_duration) {
        return 1.0;
    }
    const std::chrono::duration<double> passed = std::max(now - *since, base::nanoseconds{0});
    const std::chrono::duration<double> term = warm_up_duration;
    return warm_up_start + (1.0 - warm_up_start) * (passed / term);
}

std::uint32_t usable_slots(std::uint32_t slots, std::optional<base::time_point> since,
                           base::time_point now)
{
    if (!since) {
        return slots;
    }
    const auto share = static_cast<double>(slots) * warm_up_share(since, now);
    return std::max(1U, static_cast<std::uint32_t>(std::floor(share)));
}

} // namespace chicorylink::routing
