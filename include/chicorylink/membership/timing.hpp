#ifndef CHICORYLINK_MEMBERSHIP_TIMING_HPP
#define CHICORYLINK_MEMBERSHIP_TIMING_HPP

#include "chicorylink/base/units.hpp"

namespace chicorylink::membership {

/// @brief The intervals and timeouts of the membership protocol. All VMs must use the same values.
struct timing {
    /// Interval between heartbeats within a data center.
    base::milliseconds heartbeat{1'000};
    /// Silence after which a VM of the data center is suspected, before the extension for own
    /// pauses.
    base::milliseconds suspicion{3'500};
    /// Interval between summaries from a delegate to the delegates of other data centers.
    base::milliseconds summary{2'000};
    /// A longer gap between two ticks means that this process was paused.
    base::milliseconds pause{1'000};
    /// Maximum age at which the platform's list counts as fresh.
    base::milliseconds list_freshness{10'000};
    /// Validity of one proof of membership.
    base::milliseconds fence_term{15'000};
    /// How long a process may act without a list that shows it: on acknowledgements of more than
    /// half of its region, or alone in a region of two.
    base::milliseconds isolation_term{7'200'000};
    /// Interval between probes of the region and between queries about silent VMs.
    base::milliseconds probe{4'000};
    /// How long the notice that a process is gone is repeated to others.
    base::milliseconds gone_repeat{15'000};
    /// How long a process that is gone stays in the view.
    base::milliseconds gone_retention{600'000};
};

/// @brief How long other VMs must wait for a term to expire: a tenth longer, for clock drift.
[[nodiscard]] constexpr base::milliseconds with_drift_margin(base::milliseconds term)
{
    return term + term / 10;
}

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_TIMING_HPP
