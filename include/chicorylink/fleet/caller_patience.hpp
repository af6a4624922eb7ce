#ifndef CHICORYLINK_FLEET_CALLER_PATIENCE_HPP
#define CHICORYLINK_FLEET_CALLER_PATIENCE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <algorithm>
#include <map>

namespace chicorylink::fleet {

/// @brief Tells callers that come back from those that come for the first time.
///
/// All callers of a route begin with the same patience; what is clearly less is the rest of it.
class caller_patience {
public:
    /// Less than this part of the longest patience seen is a rest.
    static constexpr double rest_part = 0.97;

    /// @brief Notes a request's patience; whether it is what an earlier attempt left.
    [[nodiscard]] bool is_return(const route_name& route, base::milliseconds patience)
    {
        auto& longest = m_longest[route];
        longest = std::max(longest, patience);
        return static_cast<double>(patience.count()) <
               rest_part * static_cast<double>(longest.count());
    }

private:
    std::map<route_name, base::milliseconds> m_longest;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CALLER_PATIENCE_HPP
