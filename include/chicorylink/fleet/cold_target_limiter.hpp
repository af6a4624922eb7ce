#ifndef CHICORYLINK_FLEET_COLD_TARGET_LIMITER_HPP
#define CHICORYLINK_FLEET_COLD_TARGET_LIMITER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorylink::fleet {

/// Number of VMs of a region that may send to a cold target. They are chosen by rendezvous hashing,
/// so that a fleet-wide limit can be split without agreement.
inline constexpr std::size_t cold_senders = 2;

/// @brief Whether a VM is one of those that may send to a cold target.
/// @param region_ips IP addresses of the live VMs of the target's region, this one included.
[[nodiscard]] bool is_cold_sender(const target_name& target, const std::string& own_ip,
                                  const std::vector<std::string>& region_ips);

/// @brief Limits requests to cold targets to this process's share.
class cold_target_limiter {
public:
    explicit cold_target_limiter(base::time_point started_at) : m_started_at(started_at) {}

    /// @brief Whether one more request may go to a cold target now.
    /// @param per_second Requests per second that the target can take from all VMs together; no
    /// limit if zero or less.
    [[nodiscard]] bool allows(const target_name& target, double per_second,
                              base::time_point now) const;

    /// @brief Records that a request was sent to a cold target.
    void note_sent(const target_name& target, base::time_point now);

private:
    /// A restarted process must not add to what its previous run has just sent.
    base::time_point m_started_at;
    std::unordered_map<target_name, base::time_point> m_sent_at;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_COLD_TARGET_LIMITER_HPP
