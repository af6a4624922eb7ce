#include "chicorylink/fleet/target_pacer.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

constexpr double coordinated_fraction = 0.8;

} // namespace

bool is_designated_sender(const target_name& target, const std::string& own_ip,
                          const std::vector<std::string>& region_ips)
{
    const auto key = base::hash_name(target.text());
    const auto own = base::hash_pair(key, base::hash_name(own_ip));
    const auto ranked_higher =
        std::count_if(region_ips.begin(), region_ips.end(), [&](const auto& ip) {
            return ip != own_ip && base::hash_pair(key, base::hash_name(ip)) > own;
        });
    return static_cast<std::size_t>(ranked_higher) < designated_senders;
}

double coordinated_rate(double limit_per_second)
{
    return coordinated_fraction * limit_per_second;
}

std::optional<double> designated_rate(const tracked_target& target, double cold_per_second,
                                      bool is_paced, base::time_point now)
{
    std::optional<double> region_rate;
    if (may_be_cold(target, now) && cold_per_second > 0) {
        region_rate = cold_per_second;
    }
    const auto limit = limit_at(target.pushback.limit, now);
    if (limit && !is_paced) {
        const double left = *limit - coordinated_rate(*limit);
        region_rate = std::min(region_rate.value_or(left), left);
    }
    return region_rate ? std::optional{*region_rate / designated_senders} : std::nullopt;
}

} // namespace chicorylink::fleet
