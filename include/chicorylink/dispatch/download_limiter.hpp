#ifndef CHICORYLINK_DISPATCH_DOWNLOAD_LIMITER_HPP
#define CHICORYLINK_DISPATCH_DOWNLOAD_LIMITER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <map>
#include <string>

namespace chicorylink::dispatch {

/// @brief Paces the weight downloads that this VM causes in its region. Not thread-safe.
///
/// The store's rate of the region is shared evenly by the region's VMs, so that together they stay
/// within it without talking to each other. An engine fetches one model at a time.
class download_limiter {
public:
    /// @param rate The weight store's rate for the region.
    explicit download_limiter(base::bytes_per_second rate) : m_rate(rate) {}

    /// @brief Asks to order a download now.
    /// @param sharers VMs of the region that may order, this one included; at least 1. A VM that
    /// is only suspect counts.
    /// @return False when the engine fetches already, or the rate leaves no room yet.
    [[nodiscard]] bool try_start(base::target_id target, const std::string& model, base::bytes size,
                                 std::size_t sharers, base::time_point now);

    /// @brief The engine has the weights, or has given up.
    void finish(base::target_id target);

    /// @brief Whether an engine fetches at this moment.
    [[nodiscard]] bool is_fetching(base::target_id target) const
    {
        return m_fetching.contains(target);
    }

private:
    base::bytes_per_second m_rate;
    /// When the downloads begun so far are over at this VM's share of the rate.
    base::time_point m_busy_until{};
    std::map<base::target_id, std::string> m_fetching;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_DOWNLOAD_LIMITER_HPP
