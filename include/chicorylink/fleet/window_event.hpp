#ifndef CHICORYLINK_FLEET_WINDOW_EVENT_HPP
#define CHICORYLINK_FLEET_WINDOW_EVENT_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <string_view>

namespace chicorylink::fleet {

/// @brief A change of a target's start window, for the log and the counters.
struct window_event {
    enum class kind { begun, shrunk, ended };

    target_name target;
    kind change = kind::begun;
    /// Why it began (`added`, `restarted`, `readmitted`, `warm`) or ended (`full`, `expired`).
    std::string_view cause;
    /// The limit on requests in progress.
    double size = 0;
    /// Time since the window began.
    base::milliseconds lasted{0};
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_WINDOW_EVENT_HPP
