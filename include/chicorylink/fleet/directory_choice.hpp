#ifndef CHICORYLINK_FLEET_DIRECTORY_CHOICE_HPP
#define CHICORYLINK_FLEET_DIRECTORY_CHOICE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::fleet {

class configuration;

/// For this long after its start, a VM sends no caller to another region, since it may not have
/// heard from the VMs of the caller's region yet.
inline constexpr base::milliseconds discovery_time{2500};

/// @brief A VM that the directory may name.
struct directory_vm {
    std::string address;
    region_name region;
    bool is_ready = false;
    /// Whether it is being stopped and was heard from lately.
    bool is_leaving = false;
};

/// @brief What a VM's directory knows when a caller asks.
struct directory_view {
    std::vector<directory_vm> vms;
    base::time_point started_at{};
};

/// @brief For each route of a host that may not run everywhere, the regions where it may.
using region_restrictions = std::vector<std::vector<region_name>>;

/// @brief The restrictions of all routes of a host.
[[nodiscard]] region_restrictions restrictions_of(const configuration& config,
                                                  std::string_view host);

/// @brief The VMs that a caller is told of: the ready ones of its region or, when none is ready
/// there, of the regions that most restricted routes of its host allow.
///
/// Empty if callers are to keep the addresses that they have: during a restart of their region, and
/// while this VM may not have heard of their region's VMs.
[[nodiscard]] std::vector<directory_vm> choose_vms(const directory_view& view,
                                                   const region_name& caller_region,
                                                   const region_restrictions& restrictions,
                                                   base::time_point now);

/// @brief The regions of VMs, each once, separated by commas.
[[nodiscard]] std::string regions_of(const std::vector<directory_vm>& vms);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_DIRECTORY_CHOICE_HPP
