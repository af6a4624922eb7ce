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

/// @brief Tokens borrowed from one lender and the request that may be on its way to it.
struct debt {
    base::vm_id lender;
    base::incarnation process;
    bool other_region = false;
    micro_tokens amount;
    base::time_point until{};
    /// The newest request, until it is answered; grants for others are ignored.
    std::uint64_t request = 0;
    /// Whether an answer to it is still waited for.
    bool open = false;
    base::time_point asked_at{};
    base::time_point next_ask{};
    /// What the newest request needed, and the pause before the next.
    micro_tokens need;
    base::nanoseconds pause{};
    /// What the lender had left when it answered last.
    std::optional<micro_tokens> left;
    std::int64_t stamp = 0;
    base::time_point granted_at{};
    /// The holding that the lender was told of last.
    micro_tokens reported;
    std::vector<loan_refund> refunds;
    base::time_point used_at{};
};

/// @brief What a VM keeps of a team that is active here.
struct account {
    explicit account(base::time_point now) : own(now) {}

    bucket own;
    std::vector<debt> debts;
    /// The context that the limits were worked out from.
    std::uint64_t context_number = 0;
    base::tokens burst;
    /// How the team was cut when the limits were worked out.
    std::uint64_t split_digest = 0;
    std::int64_t fleet_rate = 0;
    std::uint32_t open_reservations = 0;
    /// Requested micro-tokens a second, smoothed.
    double demand = 0;
    base::time_point demand_at{};
    /// The sum of the requests that wait for loans, and until when.
    micro_tokens wanted;
    base::time_point wanted_until{};
    /// When tokens were last borrowed only to even out the buckets.
    base::time_point balanced_at{};
    /// Not forgotten before: until then a full bucket could hide what was spent.
    base::time_point keep_until{};
};

/// @brief The borrowed tokens that are valid at a time.
[[nodiscard]] micro_tokens valid_amount(const debt& which, base::time_point now);

/// @brief What a request could take at a time: the balance and all valid loans.
[[nodiscard]] micro_tokens available(const account& which, base::time_point now);

/// @brief How full the account's own bucket is, in thousandths; zero when it owns no part.
[[nodiscard]] std::int64_t level_per_mille(const account& which);

/// @brief A time of the lender's clock at or before a present moment here, close to it: its newest
/// stamp and the time since that was received.
[[nodiscard]] std::int64_t lender_time(const debt& which, base::time_point now);

/// @brief Notes tokens for the next report that a reservation did not use.
void add_refund(debt& which, const loan_refund& unused);

/// @brief Counts requested tokens into the smoothed demand.
void note_demand(account& which, micro_tokens requested, base::time_point now);

/// @brief The tokens that the smoothed demand takes within a duration.
[[nodiscard]] micro_tokens expected_demand(const account& which, base::nanoseconds duration,
                                           base::time_point now);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_ACCOUNT_HPP
