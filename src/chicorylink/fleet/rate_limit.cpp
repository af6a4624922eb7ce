#include "chicorylink/fleet/rate_limit.hpp"

#include <utility>

namespace chicorylink::fleet {

bool note_stated(rate_limit& limit, std::optional<double> per_second, base::time_point at)
{
    if (at <= limit.stated_at) {
        return false;
    }
    limit.stated_at = at;
    return std::exchange(limit.per_second, per_second) != per_second;
}

} // namespace chicorylink::fleet
