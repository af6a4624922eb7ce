#ifndef CHICORYLINK_MEMBERSHIP_RENDEZVOUS_HPP
#define CHICORYLINK_MEMBERSHIP_RENDEZVOUS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/membership/view.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorylink::membership {

/// @brief Number of delegates of a data center; one may fail without effect.
constexpr std::size_t delegate_count = 2;

/// @brief Returns the candidates with the highest rendezvous hash for a key.
///
/// When a VM is removed, only its own place is filled by another; the other chosen VMs stay.
/// @param candidates In any order; the same set gives the same result on all VMs.
[[nodiscard]] std::vector<base::vm_id>
first_by_rendezvous(const std::vector<base::vm_id>& candidates, std::uint64_t key,
                    std::size_t count);

/// @brief The VMs that represent a data center, in rendezvous order; leaving VMs only when there
/// are no live ones.
[[nodiscard]] std::vector<base::vm_id> delegates_of(const view& from,
                                                    base::data_center_id data_center);

/// @brief The single VM that performs a duty for its data center, such as watching the
/// configuration. Zero when the data center has no live VM.
[[nodiscard]] base::vm_id duty_holder(const view& from, base::data_center_id data_center,
                                      std::uint64_t duty);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_RENDEZVOUS_HPP
