#ifndef CHICORYLINK_FLEET_VM_CENSUS_HPP
#define CHICORYLINK_FLEET_VM_CENSUS_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/retry_sharers.hpp"

#include <map>
#include <set>
#include <string>

namespace chicorylink::fleet {

/// @brief The VMs that were heard of, with those that fell silent but did not leave: they may still
/// serve callers behind a partition.
class vm_census {
public:
    /// Longer than most partitions last.
    static constexpr base::milliseconds memory{600'000};

    void note(const std::string& ip, const region_name& region, member_state state,
              base::time_point heard_at);

    /// @brief Drops VMs that were silent for `memory` before the newest news of any VM: one that
    /// has stood still, or is cut off from all others, forgets nobody.
    void expire();

    /// @brief The VMs that may retry requests, the one that asks included.
    /// @param regions All regions of the system.
    [[nodiscard]] retry_sharers sharers(const region_name& own_region,
                                        const std::set<region_name>& regions) const;

private:
    struct vm {
        region_name region;
        base::time_point heard_at{};
    };

    std::map<std::string, vm> m_vms;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_VM_CENSUS_HPP
