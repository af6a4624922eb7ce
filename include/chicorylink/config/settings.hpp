#ifndef CHICORYLINK_CONFIG_SETTINGS_HPP
#define CHICORYLINK_CONFIG_SETTINGS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

namespace chicorylink::config {

/// @brief The identity of this process and the intervals of the configuration protocol.
struct settings {
    base::vm_id self;
    base::incarnation process;
    /// Long-poll wait of a watch at the service; each watch counts as one call of its rate limit.
    base::milliseconds watch_wait{20'000};
    /// Delay before the next call after the service did not answer.
    base::milliseconds retry{10'000};
    /// Delay before the next call after the service refused one for its rate limit.
    base::milliseconds rate_limit_delay{2'000};
    /// A download without progress for this long continues from another source.
    base::milliseconds stall{1'000};
    base::milliseconds service_stall{5'000};
    /// How long a VM that is catching up waits for answers from its region before it relies on the
    /// service alone.
    base::milliseconds catch_up_timeout{5'000};
    /// Interval between version queries while catching up.
    base::milliseconds query{500};
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_SETTINGS_HPP
