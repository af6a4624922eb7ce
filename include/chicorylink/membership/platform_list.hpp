#ifndef CHICORYLINK_MEMBERSHIP_PLATFORM_LIST_HPP
#define CHICORYLINK_MEMBERSHIP_PLATFORM_LIST_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::membership {

/// @brief One VM of the platform's list.
struct listed_vm {
    std::string name;
    base::region_id region;
    base::data_center_id data_center;
    std::string caller_address;
    std::string peer_address;
    bool leaving = false;
};

/// @brief A response of the platform's VM list.
struct platform_list {
    std::uint64_t sequence = 0;
    /// Age of the list as reported by the platform.
    base::milliseconds age{0};
    std::vector<listed_vm> vms;
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_PLATFORM_LIST_HPP
