#ifndef CHICORYLINK_BUDGET_ACCOUNT_HPP
#define CHICORYLINK_BUDGET_ACCOUNT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/budget/amount.hpp"
#include "chicorylink/budget/bucket.hpp"
#include "chicorylink/budget/message.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace chicorylink::budget {

/// @brief Tokens borrowed from one lender, and the state of the newest request to it.
struct debt {
    base::vm_id lender;
    base::incarnation process;
    bool other_region = false;
    micro_tokens amount;
    base::time_point until{};
    /// The newest request, zero once it is answered; grants for other requests are ignored.
    std::uint64_t request = 0;
    /// Whether the newest request still awaits its answer.
    bool pending = false;
    base::time_point requested_at{};
    base::time_point next_request_at{};
    /// The tokens that the newest request needed, and the delay before the next request.
    micro_tokens need;
    base::nanoseconds retry_delay{};
    /// The tokens that the lender had left to lend in its last answer.
    std::optional<micro_tokens> left;
    std::int64_t stamp = 0;
    base::time_point granted_at{};
    /// The holding that was last reported to the lender.
    micro_tokens reported;
    std::vector<loan_refund> refunds;
    base::time_point used_at{};
};

/// @brief The state that a VM keeps for a team that is active on it.
struct account {
    explicit account(base::time_point now) : own(now) {}

    bucket own;
    std::vector<debt> debts;
    /// The number of the context that the limits were computed from.
    std::uint64_t context_number = 0;
    base::tokens burst;
    /// Digest of the team's split that the limits were computed from.
    std::uint64_t split_digest = 0;
    std::int64_t fleet_rate = 0;
    std::uint32_t open_reservations = 0;
    /// Requested micro-tokens per second, exponentially smoothed.
    double demand = 0;
    base::time_point demand_at{};
    /// The sum of the requests that wait for loans, and the end of that wait.
    micro_tokens wanted;
    base::time_point wanted_until{};
    /// When tokens were last borrowed only to balance the buckets.
    base::time_point balanced_at{};
    /// The account is kept until then: a full bucket opened earlier would hide spent tokens.
    base::time_point keep_until{};
};

/// @brief The borrowed tokens that are valid at `now`.
[[nodiscard]] micro_tokens valid_amount(const debt& loan, base::time_point now);

/// @brief The tokens that a request could take at `now`: the balance and all valid loans.
[[nodiscard]] micro_tokens available(const account& team_account, base::time_point now);

/// @brief Fill level of the account's own bucket in thousandths; zero without a share of the cap.
[[nodiscard]] std::int64_t level_per_mille(const account& team_account);

/// @brief A time on the lender's clock close to the local time `now` and never after it: the
/// lender's newest stamp plus the time since it was received, less the allowed clock drift.
[[nodiscard]] std::int64_t lender_time(const debt& loan, base::time_point now);

/// @brief Records unused tokens of a reservation for the next report to the lender.
void add_refund(debt& loan, const loan_refund& unused);

/// @brief Adds requested tokens to the smoothed demand.
void add_demand(account& team_account, micro_tokens requested, base::time_point now);

/// @brief The tokens that the smoothed demand consumes within a duration.
[[nodiscard]] micro_tokens expected_demand(const account& team_account, base::nanoseconds duration,
                                           base::time_point now);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_ACCOUNT_HPP
