#ifndef CHICORYLINK_FLEET_NAMES_HPP
#define CHICORYLINK_FLEET_NAMES_HPP

#include "chicorylink/base/strong_name.hpp"

namespace chicorylink::fleet {

struct service_name_tag;
struct route_name_tag;
struct team_name_tag;
struct target_name_tag;
struct region_name_tag;
struct data_center_name_tag;
struct vm_name_tag;
struct software_version_tag;

using service_name = base::strong_name<service_name_tag>;
using route_name = base::strong_name<route_name_tag>;
using team_name = base::strong_name<team_name_tag>;
using region_name = base::strong_name<region_name_tag>;
using data_center_name = base::strong_name<data_center_name_tag>;
using vm_name = base::strong_name<vm_name_tag>;

/// Identifies one run of a target. Unlike an address, it is never reused by another target.
using target_name = base::strong_name<target_name_tag>;

/// Version of the software that a target runs. What two versions write doesn't fit together.
using software_version = base::strong_name<software_version_tag>;

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_NAMES_HPP
