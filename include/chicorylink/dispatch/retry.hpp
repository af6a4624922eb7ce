#ifndef CHICORYLINK_DISPATCH_RETRY_HPP
#define CHICORYLINK_DISPATCH_RETRY_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/outcome.hpp"
#include "chicorylink/dispatch/retry_budget.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::dispatch {

/// @brief An attempt that ended without a response, as seen by the VM that may retry it.
struct failed_attempt {
    outcome result = outcome::unknown;
    /// Whether the route's requests may run more than once.
    bool idempotent = false;
    /// Whether a byte of a response was sent to the caller.
    bool response_sent = false;
    /// Hops that the request made to reach this VM; it is retried only at 0.
    std::uint8_t hops = 0;
    /// Attempts so far, including this one; sent over the peer link.
    std::uint8_t attempts = 1;
    base::time_point deadline{};
};

/// @brief When and where to retry.
struct retry_plan {
    base::time_point at{};
    /// Whether the failed target must not be chosen again.
    bool exclude_failed_target = true;
};

/// Maximum attempts of one request over all VMs.
inline constexpr std::uint8_t max_attempts = 3;

/// @brief Decides whether a failed attempt is retried, and charges the retry to the budget.
/// @param seed Seed of the jitter, which spreads the retries of many requests over time.
/// @return Empty when the request may have run and must not run twice, when its deadline, the
/// attempt limit or the budget allows no retry, or when another VM decides.
[[nodiscard]] std::optional<retry_plan> plan_retry(const failed_attempt& failed,
                                                   retry_budget& budget, base::time_point now,
                                                   std::uint64_t seed);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_RETRY_HPP
