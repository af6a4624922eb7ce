#ifndef CHICORYLINK_MEMBERSHIP_RENDEZVOUS_HPP
#define CHICORYLINK_MEMBERSHIP_RENDEZVOUS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/membership/view.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace chicorylink::membership {

/// @brief Delegates of a data center: enough that one may fail unnoticed.
constexpr std::size_t delegate_count = 2;

/// @brief The first VMs of some candidates by rendezvous hash for a key.
///
/// When a VM goes, only its own place is filled anew; all other places stay.
/// @param candidates In any order; all callers with the same set get the same answer.
[[nodiscard]] std::vector<base::vm_id>
first_by_rendezvous(const std::vector<base::vm_id>& candidates, std::uint64_t key,
                    std::size_t count);

/// @brief The VMs of a data center that speak for it, best first; leaving VMs only when no live
/// ones are there.
[[nodiscard]] std::vector<base::vm_id> delegates_of(const view& from,
                                                    base::data_center_id data_center);

/// @brief The VM that has a duty of a data center alone, such as the watch of the configuration.
/// Zero when the data center has no live VM.
[[nodiscard]] base::vm_id duty_holder(const view& from, base::data_center_id data_center,
                                      std::uint64_t duty);

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_RENDEZVOUS_HPP
