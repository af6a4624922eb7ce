#ifndef CHICORYLINK_FLEET_RETRY_BUDGET_HPP
#define CHICORYLINK_FLEET_RETRY_BUDGET_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/retry_sharers.hpp"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace chicorylink::fleet {

/// @brief Limit on retries to a service, over all VMs.
struct retry_bound {
    /// Retries per request of the window.
    double ratio = 0.1;
    /// Retries beyond the ratio, for the whole fleet.
    double slack = 0;
    base::milliseconds window{10'000};
};

/// @brief Whether a process belongs to the first start of the whole fleet. A later one may take the
/// place of a process that has retried requests, or start behind a partition.
enum class fleet_start { first, later };

/// @brief What one decision on a retry was made from, for the log.
struct retry_usage {
    /// This process's requests and retries of the window.
    std::size_t requests = 0;
    std::size_t retries = 0;
    /// Retries that this process may make in the window.
    double allowed = 0;
};

/// @brief This process's share of the fleet's retries, by service.
///
/// A process may retry in proportion to its own requests and to its share of the slack, so that all
/// shares together stay below the bound whatever the processes know of each other.
class retry_budget {
public:
    /// Fractions of the bound that are used; the rest covers processes that restart and VMs that
    /// disagree on their number.
    static constexpr double used_ratio = 0.8;
    static constexpr double used_slack = 0.5;

    /// The fractions in the first window of a process that starts later than the fleet. The one
    /// before it may have retried as often as it could, which nobody remembers. The slack grows
    /// with the uptime, so that a process that restarts again and again gets no more of it.
    static constexpr double restarted_ratio = 1 - used_ratio;
    static constexpr double restarted_slack = 0.3;

    /// @param started_at When this process started.
    retry_budget(retry_bound bound, fleet_start start, base::time_point started_at)
        : m_bound(bound), m_start(start), m_started_at(started_at)
    {
    }

    void set_bound(retry_bound bound) { m_bound = bound; }

    /// @brief Records a caller's request for a service.
    void note_request(const service_name& service, base::time_point now);

    /// @brief Whether a retry is allowed now.
    [[nodiscard]] bool has_room(const service_name& service, const retry_sharers& sharers,
                                base::time_point now);

    /// @brief The requests, retries and limit that decide now.
    [[nodiscard]] retry_usage usage(const service_name& service, const retry_sharers& sharers,
                                    base::time_point now);

    /// @brief Time since this process started.
    [[nodiscard]] base::milliseconds uptime(base::time_point now) const;

    /// @brief Takes one retry; false if the share is used up.
    [[nodiscard]] bool take(const service_name& service, const retry_sharers& sharers,
                            base::time_point now);

private:
    struct history {
        std::deque<base::time_point> requests;
        std::deque<base::time_point> retries;
    };

    /// The fractions of the bound that this process may use now.
    struct fractions {
        double ratio = used_ratio;
        double slack = used_slack;
    };

    [[nodiscard]] fractions usable_fractions(const retry_sharers& sharers,
                                             base::time_point now) const;
    void drop_expired(history& service_history, base::time_point now) const;

    retry_bound m_bound;
    fleet_start m_start;
    base::time_point m_started_at;
    std::unordered_map<service_name, history> m_services;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_RETRY_BUDGET_HPP
