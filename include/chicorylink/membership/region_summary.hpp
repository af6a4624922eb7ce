#ifndef CHICORYLINK_MEMBERSHIP_REGION_SUMMARY_HPP
#define CHICORYLINK_MEMBERSHIP_REGION_SUMMARY_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/load_summary.hpp"

#include <cstdint>

namespace chicorylink::membership {

/// @brief The state of another region as last reported by its delegates.
struct region_summary {
    base::region_id region;
    std::uint32_t live_vms = 0;
    load_summary load;
    base::time_point heard_at{};
};

} // namespace chicorylink::membership

#endif // CHICORYLINK_MEMBERSHIP_REGION_SUMMARY_HPP
