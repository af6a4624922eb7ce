#include "chicorylink/fleet/cold_target_limiter.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// Time after its start in which a process sends nothing to cold targets: until it knows the VMs of
/// its region, it would count itself among the senders of every target.
constexpr base::milliseconds startup_delay{2500};

} // namespace

bool is_cold_sender(const target_name& target, const std::string& own_ip,
                    const std::vector<std::string>& region_ips)
{
    const auto key = base::hash_name(target.text());
    const auto own = base::hash_pair(key, base::hash_name(own_ip));
    const auto ranked_higher =
        std::count_if(region_ips.begin(), region_ips.end(), [&](const auto& ip) {
            return ip != own_ip && base::hash_pair(key, base::hash_name(ip)) > own;
        });
    return static_cast<std::size_t>(ranked_higher) < cold_senders;
}

bool cold_target_limiter::allows(const target_name& target, double per_second,
                                 base::time_point now) const
{
    if (per_second <= 0) {
        return true;
    }
    const std::chrono::duration<double> min_interval{static_cast<double>(cold_senders) /
                                                     per_second};
    const auto sent = m_sent_at.find(target);
    return now - m_started_at >= startup_delay &&
           (sent == m_sent_at.end() || now - sent->second >= min_interval);
}

void cold_target_limiter::note_sent(const target_name& target, base::time_point now)
{
    m_sent_at[target] = now;
}

} // namespace chicorylink::fleet
