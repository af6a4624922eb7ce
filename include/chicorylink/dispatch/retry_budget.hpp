#ifndef CHICORYLINK_DISPATCH_RETRY_BUDGET_HPP
#define CHICORYLINK_DISPATCH_RETRY_BUDGET_HPP

#include <cstdint>

namespace chicorylink::dispatch {

/// @brief Limits retries to 10 % of the requests of one process. Counts hundredths of a retry.
///
/// Only the entry VM of a request retries it, so that the limit holds for the whole system.
struct retry_budget {
    /// Credit that each request adds.
    static constexpr std::uint64_t per_request = 10;
    /// Credit that each retry consumes.
    static constexpr std::uint64_t per_retry = 100;
    /// Maximum credit, so that a period without retries does not allow a retry storm.
    static constexpr std::uint64_t limit = 20 * per_retry;

    std::uint64_t credit = 0;
};

/// @brief Adds the credit of a request that came from a caller.
void note_request(retry_budget& budget);

/// @brief Consumes the credit of one retry; returns false when there is too little.
[[nodiscard]] bool take_retry(retry_budget& budget);

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_RETRY_BUDGET_HPP
