#ifndef CHICORYLINK_FLEET_RETRY_DETECTOR_HPP
#define CHICORYLINK_FLEET_RETRY_DETECTOR_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <algorithm>
#include <map>

namespace chicorylink::fleet {

/// @brief Tells a caller's retries from first attempts by the caller's timeout.
///
/// All callers of a route start with the same timeout; a clearly shorter one is what an earlier
/// attempt left.
class retry_detector {
public:
    /// A timeout below this fraction of the longest one seen on the route marks a retry.
    static constexpr double retry_fraction = 0.97;

    /// @brief Records a request's timeout.
    /// @return Whether the timeout is what an earlier attempt left.
    [[nodiscard]] bool is_retry(const route_name& route, base::milliseconds timeout)
    {
        auto& longest = m_longest[route];
        longest = std::max(longest, timeout);
        return static_cast<double>(timeout.count()) <
               retry_fraction * static_cast<double>(longest.count());
    }

private:
    std::map<route_name, base::milliseconds> m_longest;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RETRY_DETECTOR_HPP
