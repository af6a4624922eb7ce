#ifndef CHICORYLINK_MEMBERSHIP_TIMING_HPP
#define CHICORYLINK_MEMBERSHIP_TIMING_HPP

#include "chicorylink/base/units.hpp"

namespace chicorylink::membership {

/// @brief The intervals and terms of the membership protocol. All VMs must use the same ones.
struct timing {
    /// Between heartbeats within a data center.
    base::milliseconds heartbeat{1'000};
    /// Silence after which a VM of the data center is suspected, before the health correction.
    base::milliseconds suspicion{3'500};
    /// Between summaries from a delegate to the delegates of other data centers.
    base::milliseconds summary{2'000};
    /// A gap between two ticks above this means that this process was paused.
    base::milliseconds pause{1'000};
    /// Age up to which the platform's list counts as fresh.
    base::milliseconds list_freshness{10'000};
    /// How long one proof of membership lasts.
    base::milliseconds fence_term{15'000};
    /// How long a process may act without a list that shows it: on acknowledgements of more than
    /// half of its region, or alone in a region of two.
    base::milliseconds isolation_term{7'200'000};
    /// Between probes of the region and between queries about silent VMs.
    base::milliseconds probe{4'000};
    /// How long the end of a process is repeated to others.
    base::milliseconds gone_repeat{15'000};
    /// How long a process that is gone stays in the view.
    base::milliseconds gone_memory{600'000};
};

/// @brief A term as others must wait it out: longer by a tenth, for clocks that differ in rate.
[[nodiscard]] constexpr base::milliseconds with_margin(base::milliseconds term)
{
    return term + term / 10;
}

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_TIMING_HPP
