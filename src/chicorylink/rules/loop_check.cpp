#include "chicorylink/rules/loop_check.hpp"

#include "chicorylink/rules/address.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <unordered_set>

namespace chicorylink::rules {

std::vector<base::target_id> targets_at(const rulebook& book,
                                        std::span<const std::string> vm_addresses)
{
    std::unordered_set<std::string> vm_address_set;
    for (const auto& address : vm_addresses) {
        vm_address_set.insert(canonical_address(address).value_or(address));
    }
    std::vector<base::target_id> found;
    for (const auto& each : book.targets()) {
        if (vm_address_set.contains(canonical_address(each.address).value_or(each.address))) {
            found.push_back(each.id);
        }
    }
    return found;
}

} // namespace chicorylink::rules
