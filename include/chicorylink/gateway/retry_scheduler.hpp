#ifndef CHICORYLINK_GATEWAY_RETRY_SCHEDULER_HPP
#define CHICORYLINK_GATEWAY_RETRY_SCHEDULER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/retry_budget.hpp"
#include "chicorylink/gateway/active_request.hpp"

#include <mutex>
#include <optional>
#include <vector>

namespace chicorylink::gateway {

/// @brief Limits retries to a tenth of the requests of this VM and holds requests until their next
/// attempt is due. Thread-safe.
class retry_scheduler {
public:
    /// @brief Counts a request that came from a caller.
    void on_request();

    /// @brief Decides whether a failed attempt is retried. The caller holds the request's lock.
    /// @return When the next attempt begins, or empty when there is none.
    [[nodiscard]] std::optional<base::time_point> plan(const active_request& entry,
                                                       base::time_point now);

    /// @brief Holds a request until its next attempt.
    void wait(const active_request_ptr& entry, base::time_point at);

    /// @brief Removes and returns the requests whose next attempt is due.
    [[nodiscard]] std::vector<active_request_ptr> take_due(base::time_point now);

private:
    struct waiter {
        active_request_ptr entry;
        base::time_point at;
    };

    std::mutex m_mutex;
    /// Starts full so that a new process may retry at once; at a low request rate it otherwise
    /// never could.
    dispatch::retry_budget m_budget{.credit = dispatch::retry_budget::limit};
    std::vector<waiter> m_waiting;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_RETRY_SCHEDULER_HPP
