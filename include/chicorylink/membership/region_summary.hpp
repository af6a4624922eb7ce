#ifndef CHICORYLINK_MEMBERSHIP_REGION_SUMMARY_HPP
#define CHICORYLINK_MEMBERSHIP_REGION_SUMMARY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/load_summary.hpp"

#include <cstdint>

namespace chicorylink::membership {

/// @brief What the delegates of another region last told of it.
struct region_summary {
    base::region_id region;
    std::uint32_t live_vms = 0;
    load_summary load;
    base::time_point heard_at{};
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_REGION_SUMMARY_HPP
