#include "chicorylink/fleet/return_schedule.hpp"

#include "chicorylink/fleet/rate_limit.hpp"
#include "chicorylink/fleet/retry_after_delay.hpp"

#include <algorithm>

namespace chicorylink::fleet {

base::milliseconds return_schedule::next(const service_name& service, double per_second,
                                         base::milliseconds time_left, base::time_point now)
{
    auto& last = m_last_return[service];
    const auto turn = std::max(last, now) + request_interval(per_second);
    if (turn - now <= time_left) {
        last = turn;
    }
    return std::min(std::chrono::duration_cast<base::milliseconds>(turn - now), max_retry_after);
}

} // namespace chicorylink::fleet
