#ifndef CHICORYLINK_BUDGET_SETTINGS_HPP
#define CHICORYLINK_BUDGET_SETTINGS_HPP

#include "chicorylink/base/units.hpp"

namespace chicorylink::budget {

/// @brief The stated bound on the error of a VM's clock rate, in parts per thousand.
inline constexpr std::int64_t clock_drift_per_mille = 1;

/// @brief The part of the minting rate that is given up so that a fast clock mints no excess.
inline constexpr std::int64_t minted_per_mille = 1000 - clock_drift_per_mille;

/// @brief The wait of a giver for a term that a taker measures with its own clock.
[[nodiscard]] constexpr base::nanoseconds lengthen(base::nanoseconds term)
{
    return term + term * (3 * clock_drift_per_mille) / 1000;
}

/// @brief Terms of the budget protocol. All VMs of a fleet use the same.
struct settings {
    /// How long borrowed tokens stay valid, counted from the borrower's request.
    base::nanoseconds loan_term = std::chrono::seconds(4);
    /// How long a new process waits before it claims slots, unless a settled VM answered.
    base::nanoseconds settle_time = std::chrono::seconds(10);
    /// How long a VM that granted a claim neither claims nor accepts the slot itself. Longer than
    /// the greatest age of a fresh member list, after which all VMs know the claimant.
    base::nanoseconds promise_term = std::chrono::seconds(12);
    /// How long a claim waits for the answers of all VMs of the region.
    base::nanoseconds claim_timeout = std::chrono::seconds(1);
    /// The longest pause between claims of slots that others keep.
    base::nanoseconds longest_claim_pause = std::chrono::seconds(8);
    /// How long after its claim a transfer is still taken.
    base::nanoseconds transfer_term = std::chrono::seconds(5);
    /// How long the placement must be unchanged before a slot moves to its new owner.
    base::nanoseconds move_delay = std::chrono::seconds(2);
    /// The interval at which unacknowledged transfers are sent again.
    base::nanoseconds resend_interval = std::chrono::milliseconds(500);
    /// The interval at which VMs with an older rulebook are asked again for their version.
    base::nanoseconds version_interval = std::chrono::seconds(5);
    /// The longest a request waits for a loan.
    base::nanoseconds longest_loan_wait = std::chrono::milliseconds(600);
    /// After which an unanswered loan request within the region is given up.
    base::nanoseconds local_loan_timeout = std::chrono::milliseconds(200);
    /// After which an unanswered loan request to another region is given up.
    base::nanoseconds remote_loan_timeout = std::chrono::milliseconds(500);
    /// The least interval between two loan requests of a team to a lender that could not serve it.
    base::nanoseconds ask_interval = std::chrono::milliseconds(50);
    /// To which that interval grows while the lender has nothing.
    base::nanoseconds longest_ask_interval = std::chrono::milliseconds(1600);
    /// Demand for which tokens are borrowed ahead of need, and kept back by a lender.
    base::nanoseconds prefetch = std::chrono::milliseconds(500);
    /// The least interval between two requests of a team that only even out the buckets.
    base::nanoseconds balance_interval = std::chrono::milliseconds(500);
    /// After which unused borrowed tokens are returned.
    base::nanoseconds return_after = std::chrono::seconds(2);
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_SETTINGS_HPP
