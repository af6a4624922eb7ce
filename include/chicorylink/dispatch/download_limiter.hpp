#ifndef CHICORYLINK_DISPATCH_DOWNLOAD_LIMITER_HPP
#define CHICORYLINK_DISPATCH_DOWNLOAD_LIMITER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <map>
#include <string>

namespace chicorylink::dispatch {

/// @brief Limits the rate of weight downloads that this VM starts in its region. Not thread-safe.
///
/// The region's VMs share the weight store's rate evenly, so that together they stay within it
/// without coordination. An engine downloads one model at a time.
class download_limiter {
public:
    /// @param rate The weight store's rate for the region, in bytes per second.
    explicit download_limiter(base::bytes_per_second rate) : m_rate(rate) {}

    /// @brief Starts a download if the rate allows it now.
    /// @param vm_count VMs of the region that may start downloads, including this one; at least 1.
    /// Suspect VMs count.
    /// @return False when the engine is already downloading or the rate is used up for now.
    [[nodiscard]] bool try_start(base::target_id target, const std::string& model, base::bytes size,
                                 std::size_t vm_count, base::time_point now);

    /// @brief Records that the engine has the weights or has given up.
    void finish(base::target_id target);

    /// @brief Whether an engine is downloading now.
    [[nodiscard]] bool is_downloading(base::target_id target) const
    {
        return m_downloading.contains(target);
    }

private:
    base::bytes_per_second m_rate;
    /// When the downloads started so far finish at this VM's share of the rate.
    base::time_point m_busy_until{};
    std::map<base::target_id, std::string> m_downloading;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_DOWNLOAD_LIMITER_HPP
