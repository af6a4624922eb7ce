#ifndef CHICORYLINK_RULES_LOOP_CHECK_HPP
#define CHICORYLINK_RULES_LOOP_CHECK_HPP

#include "chicorylink/base/ids.hpp"

#include <span>
#include <string>
#include <vector>

namespace chicorylink::rules {

class rulebook;

/// @brief The targets of a rulebook that stand at an address of a VM of the system.
///
/// A VM may come to such an address after the version was accepted. Requests to these targets would
/// come back to the system, so they must not be used.
/// @param vm_addresses `IP:port` of all VMs, callers' and peers' addresses alike, in any spelling.
/// @return In order of id.
[[nodiscard]] std::vector<base::target_id> targets_at(const rulebook& book,
                                                      std::span<const std::string> vm_addresses);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_LOOP_CHECK_HPP
