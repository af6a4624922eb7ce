#ifndef CHICORYLINK_BUDGET_SETTINGS_HPP
#define CHICORYLINK_BUDGET_SETTINGS_HPP

#include "chicorylink/base/units.hpp"

namespace chicorylink::budget {

/// @brief The specified bound on the error of a VM's clock rate, in parts per thousand.
inline constexpr std::int64_t clock_drift_per_mille = 1;

/// @brief The part of the minting rate that is used, in thousandths: the rest is given up so that a
/// fast clock mints no excess.
inline constexpr std::int64_t minted_per_mille = 1000 - clock_drift_per_mille;

/// @brief How long to wait locally for a term that another VM measures with its own clock.
[[nodiscard]] constexpr base::nanoseconds with_drift_margin(base::nanoseconds term)
{
    return term + term * (3 * clock_drift_per_mille) / 1000;
}

/// @brief Timing of the budget protocol. All VMs of a fleet use the same values.
struct settings {
    /// How long borrowed tokens stay valid after the borrower's request.
    base::nanoseconds loan_term = std::chrono::seconds(4);
    /// How long a new process waits before it takes slots, unless a settled VM answers its claim.
    base::nanoseconds settle_time = std::chrono::seconds(10);
    /// How long a VM that granted a claim neither claims nor accepts the slot itself. Longer than
    /// the maximum age of a fresh member list, after which all VMs know the claimant.
    base::nanoseconds promise_term = std::chrono::seconds(12);
    /// How long a claim waits for the answers of all VMs of the region.
    base::nanoseconds claim_timeout = std::chrono::seconds(1);
    /// Maximum delay between claims of slots that other VMs keep.
    base::nanoseconds max_claim_delay = std::chrono::seconds(8);
    /// How long after its claim a transfer is still accepted.
    base::nanoseconds transfer_term = std::chrono::seconds(5);
    /// How long the placement must be stable before a slot moves to its new owner.
    base::nanoseconds move_delay = std::chrono::seconds(2);
    /// Interval at which unacknowledged transfers are resent.
    base::nanoseconds resend_interval = std::chrono::milliseconds(500);
    /// Interval at which VMs with an older rulebook are queried again for their version.
    base::nanoseconds version_interval = std::chrono::seconds(5);
    /// Maximum time that a request waits for a loan.
    base::nanoseconds max_loan_wait = std::chrono::milliseconds(600);
    /// Timeout of a loan request within the region.
    base::nanoseconds local_loan_timeout = std::chrono::milliseconds(200);
    /// Timeout of a loan request to another region.
    base::nanoseconds remote_loan_timeout = std::chrono::milliseconds(500);
    /// Minimum interval between loan requests of a team to a lender that could not serve it.
    base::nanoseconds min_request_interval = std::chrono::milliseconds(50);
    /// Upper limit of that interval, which grows while the lender has nothing to lend.
    base::nanoseconds max_request_interval = std::chrono::milliseconds(1600);
    /// Duration of expected demand for which tokens are borrowed in advance or kept by a lender.
    base::nanoseconds prefetch = std::chrono::milliseconds(500);
    /// Minimum interval between requests of a team that only balance the buckets.
    base::nanoseconds balance_interval = std::chrono::milliseconds(500);
    /// How long borrowed tokens stay unused before they are returned.
    base::nanoseconds return_after = std::chrono::seconds(2);
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_SETTINGS_HPP
