#ifndef CHICORYLINK_FLEET_TARGET_PACER_HPP
#define CHICORYLINK_FLEET_TARGET_PACER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/rate_pacer.hpp"
#include "chicorylink/fleet/tracked_target.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::fleet {

/// Number of VMs of a region that may choose a target of limited rate by themselves. They are found
/// by rendezvous hashing, so that a region's rate can be split without agreement.
inline constexpr std::size_t designated_senders = 2;

/// Time after its start in which a process chooses no target of limited rate by itself: until it
/// knows the VMs of its region, it would count itself among the senders of every target, and add to
/// what its previous run has just sent.
inline constexpr base::milliseconds designation_delay{2'500};

/// @brief Whether a VM is one of those that may choose a target of limited rate by themselves.
/// @param region_ips IP addresses of the live VMs of the target's region, this one included.
[[nodiscard]] bool is_designated_sender(const target_name& target, const std::string& own_ip,
                                        const std::vector<std::string>& region_ips);

/// @brief The part of a target's limit that the region's coordinator places. The rest is left to
/// the designated senders, so that the sum stays within the limit without agreement.
[[nodiscard]] double coordinated_rate(double limit_per_second);

/// @brief Requests per second that each designated sender may send to a target that is cold or that
/// states a limit; none when neither holds.
/// @param cold_per_second Requests per second that a cold target of the service takes from all VMs;
/// no bound if zero or less.
/// @param is_paced Whether the coordinator counts the requests toward the stated limit.
[[nodiscard]] std::optional<double> designated_rate(const tracked_target& target,
                                                    double cold_per_second, bool is_paced,
                                                    base::time_point now);

/// @brief Spaces the requests to each target of limited rate.
using target_pacer = rate_pacer<target_name>;

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_PACER_HPP
