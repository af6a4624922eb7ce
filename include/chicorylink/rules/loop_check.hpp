#ifndef CHICORYLINK_RULES_LOOP_CHECK_HPP
#define CHICORYLINK_RULES_LOOP_CHECK_HPP

#include "chicorylink/base/ids.hpp"

#include <span>
#include <string>
#include <vector>

namespace chicorylink::rules {

class rulebook;

/// @brief Returns the targets of a rulebook whose address belongs to a VM of the system.
///
/// A VM may get such an address after the version was accepted. Requests to these targets would
/// loop back to the system, so the targets must not be used.
/// @param vm_addresses `IP:port` of all VMs, for callers and for peers, in any notation.
/// @return Ordered by id.
[[nodiscard]] std::vector<base::target_id> targets_at(const rulebook& book,
                                                      std::span<const std::string> vm_addresses);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_LOOP_CHECK_HPP
