#ifndef CHICORYLINK_FLEET_LIMIT_WATCH_HPP
#define CHICORYLINK_FLEET_LIMIT_WATCH_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <deque>
#include <unordered_map>

namespace chicorylink::fleet {

/// The promise to a target that states a limit: in any window it gets at most this many times what
/// the limit allows, and a few requests more.
inline constexpr base::milliseconds limit_window{4'000};
inline constexpr double limit_overage = 1.5;
inline constexpr double limit_slack = 5;

/// @brief Checks the promise to targets that state a limit against what this VM really sends,
/// independently of the pacing that keeps it.
class limit_watch {
public:
    /// @brief Records that a request is sent to a target that states a limit.
    /// @return Whether this VM alone has just broken the promise; once a window.
    bool note_sent(const target_name& target, double per_second, base::time_point now);

private:
    /// The times of the requests in the last window.
    std::unordered_map<target_name, std::deque<base::time_point>> m_sent;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_LIMIT_WATCH_HPP
