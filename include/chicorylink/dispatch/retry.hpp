#ifndef CHICORYLINK_DISPATCH_RETRY_HPP
#define CHICORYLINK_DISPATCH_RETRY_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/outcome.hpp"
#include "chicorylink/dispatch/retry_budget.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::dispatch {

/// @brief An attempt that ended without an answer, as seen by who might retry it.
struct failed_attempt {
    outcome result = outcome::unknown;
    /// Whether the route's requests may be run again.
    bool idempotent = false;
    /// Whether a byte of an answer was passed on to the caller.
    bool answer_passed_on = false;
    /// Hops that the request made to reach this VM; only at 0 is it retried.
    std::uint8_t hops = 0;
    /// Attempts made so far, this one included. Carried across the peer link.
    std::uint8_t attempts = 1;
    base::time_point deadline{};
};

/// @brief When to try again.
struct retry_plan {
    base::time_point at{};
    /// Whether the failed target must be left out.
    bool elsewhere = true;
};

/// Attempts of one request at most, over all VMs.
inline constexpr std::uint8_t max_attempts = 3;

/// @brief Decides whether a failed attempt is tried again, and takes it out of the budget.
/// @param seed Spreads the retries of many requests over time.
/// @return Empty when it is not: it may have run and must not run twice, its deadline or the
/// budget leaves no room, or another VM is to decide.
[[nodiscard]] std::optional<retry_plan> plan_retry(const failed_attempt& failed,
                                                   retry_budget& budget, base::time_point now,
                                                   std::uint64_t seed);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_RETRY_HPP
