#include "chicorylink/fleet/retry_allowance.hpp"

#include <algorithm>

namespace chicorylink::fleet {

void retry_allowance::forget_old(history& of, base::time_point now) const
{
    const auto drop = [&](std::deque<base::time_point>& times) {
        while (!times.empty() && now - times.front() > m_bound.window) {
            times.pop_front();
        }
    };
    drop(of.requests);
    drop(of.repeats);
}

void retry_allowance::note_request(const service_name& service, base::time_point now)
{
    auto& entry = m_services[service];
    forget_old(entry, now);
    entry.requests.push_back(now);
}

bool retry_allowance::has_room(const service_name& service, std::size_t vms, base::time_point now)
{
    auto& entry = m_services[service];
    forget_old(entry, now);
    const double by_requests =
        m_bound.ratio * used_ratio * static_cast<double>(entry.requests.size());
    const double by_slack =
        m_bound.slack * used_slack / static_cast<double>(std::max<std::size_t>(vms, 1));
    return static_cast<double>(entry.repeats.size()) + 1 <= by_requests + by_slack;
}

bool retry_allowance::take(const service_name& service, std::size_t vms, base::time_point now)
{
    if (!has_room(service, vms, now)) {
        return false;
    }
    m_services[service].repeats.push_back(now);
    return true;
}

} // namespace chicorylink::fleet
