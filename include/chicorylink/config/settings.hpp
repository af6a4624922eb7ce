#ifndef CHICORYLINK_CONFIG_SETTINGS_HPP
#define CHICORYLINK_CONFIG_SETTINGS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

namespace chicorylink::config {

/// @brief Who this process is and the intervals of the configuration protocol.
struct settings {
    base::vm_id self;
    base::incarnation process;
    /// How long a watch waits at the service; each counts as one call of its rate.
    base::milliseconds watch_wait{20'000};
    /// Between calls of a VM to a service that does not answer it.
    base::milliseconds retry{10'000};
    /// After a refusal for the service's rate.
    base::milliseconds rate_pause{2'000};
    /// Without progress for so long, a download goes on from another source.
    base::milliseconds stall{1'000};
    base::milliseconds service_stall{5'000};
    /// How long a newcomer waits for answers of its region before it goes by the service alone.
    base::milliseconds newcomer_wait{5'000};
    /// Between version queries of a newcomer.
    base::milliseconds query{500};
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_SETTINGS_HPP
