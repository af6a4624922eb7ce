#ifndef CHICORYLINK_DISPATCH_RETRY_BUDGET_HPP
#define CHICORYLINK_DISPATCH_RETRY_BUDGET_HPP

#include <cstdint>

namespace chicorylink::dispatch {

/// @brief Bounds retries to a tenth of the requests of one process. Kept in hundredths of a retry.
///
/// Only the VM that a request entered by retries, so that the bound holds for the whole system.
struct retry_budget {
    /// What each request adds.
    static constexpr std::uint64_t per_request = 10;
    /// What each retry takes.
    static constexpr std::uint64_t per_retry = 100;
    /// Saved up at most, so that a quiet time does not allow a storm.
    static constexpr std::uint64_t limit = 20 * per_retry;

    std::uint64_t saved = 0;
};

/// @brief Notes a request that came from a caller.
void note_request(retry_budget& budget);

/// @brief Takes one retry out of the budget; false when there is none.
[[nodiscard]] bool take_retry(retry_budget& budget);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_RETRY_BUDGET_HPP
