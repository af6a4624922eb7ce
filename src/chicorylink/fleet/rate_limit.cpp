#include "chicorylink/fleet/rate_limit.hpp"

#include <algorithm>

namespace chicorylink::fleet {

bool is_recent(const limit_statement& statement, base::time_point now)
{
    return statement.at != base::time_point{} && now - statement.at < limit_lifetime;
}

std::optional<double> limit_at(const rate_limit& limit, base::time_point now)
{
    const auto& newest = limit.relayed.at > limit.told.at ? limit.relayed : limit.told;
    if (!newest.per_second || !is_recent(newest, now)) {
        return std::nullopt;
    }
    return std::max(*newest.per_second, min_requests_per_second);
}

base::milliseconds request_interval(double per_second)
{
    return std::chrono::ceil<base::milliseconds>(std::chrono::duration<double>{1 / per_second});
}

void update_statement(limit_statement& known, const limit_statement& newer)
{
    if (newer.at > known.at) {
        known = newer;
    }
}

} // namespace chicorylink::fleet
