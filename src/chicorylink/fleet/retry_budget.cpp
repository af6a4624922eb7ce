#include "chicorylink/fleet/retry_budget.hpp"

#include "chicorylink/fleet/vm_census.hpp"

#include <algorithm>

namespace chicorylink::fleet {

void retry_budget::drop_expired(history& service_history, base::time_point now) const
{
    const auto drop = [&](std::deque<base::time_point>& times) {
        while (!times.empty() && now - times.front() > m_bound.window) {
            times.pop_front();
        }
    };
    drop(service_history.requests);
    drop(service_history.retries);
}

void retry_budget::note_request(const service_name& service, base::time_point now)
{
    auto& entry = m_services[service];
    drop_expired(entry, now);
    entry.requests.push_back(now);
}

retry_usage retry_budget::usage(const service_name& service, const retry_sharers& sharers,
                                base::time_point now)
{
    auto& entry = m_services[service];
    drop_expired(entry, now);
    const auto usable = usable_fractions(sharers, now);
    const double allowed =
        m_bound.ratio * usable.ratio * static_cast<double>(entry.requests.size()) +
        m_bound.slack * usable.slack / static_cast<double>(std::max<std::size_t>(sharers.vms, 1));
    return {entry.requests.size(), entry.retries.size(), allowed};
}

retry_budget::fractions retry_budget::usable_fractions(const retry_sharers& sharers,
                                                       base::time_point now) const
{
    if (m_start == fleet_start::first) {
        return {};
    }
    fractions usable;
    if (const auto up = uptime(now); up < m_bound.window) {
        const double window_share = std::chrono::duration<double>(up) / m_bound.window;
        usable = {restarted_ratio, restarted_slack * window_share};
    }
    // VMs that have started behind a partition would share the whole slack on each of its sides. A
    // region that nobody has heard of for that long has no VMs.
    if (!sharers.all_regions && uptime(now) < vm_census::memory) {
        usable.slack = 0;
    }
    return usable;
}

base::milliseconds retry_budget::uptime(base::time_point now) const
{
    return std::chrono::duration_cast<base::milliseconds>(now - m_started_at);
}

bool retry_budget::has_room(const service_name& service, const retry_sharers& sharers,
                            base::time_point now)
{
    const auto used = usage(service, sharers, now);
    return static_cast<double>(used.retries) + 1 <= used.allowed;
}

bool retry_budget::take(const service_name& service, const retry_sharers& sharers,
                        base::time_point now)
{
    if (!has_room(service, sharers, now)) {
        return false;
    }
    m_services[service].retries.push_back(now);
    return true;
}

} // namespace chicorylink::fleet
