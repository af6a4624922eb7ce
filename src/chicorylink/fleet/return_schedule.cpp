#include "chicorylink/fleet/return_schedule.hpp"

#include "chicorylink/fleet/rate_limit.hpp"
#include "chicorylink/fleet/retry_after_delay.hpp"

#include <algorithm>

namespace chicorylink::fleet {

base::milliseconds return_schedule::next(const service_name& service, double per_second,
                                         base::time_point now)
{
    auto& last = m_last_return[service];
    last = std::min(std::max(last, now) + request_interval(per_second), now + max_retry_after);
    return std::chrono::duration_cast<base::milliseconds>(last - now);
}

} // namespace chicorylink::fleet
