#ifndef CHICORYLINK_RULES_TARGET_HPP
#define CHICORYLINK_RULES_TARGET_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/rules/origin.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::rules {

/// @brief A model engine or a plain service that requests are sent to.
struct target {
    base::target_id id;
    std::string name;
    base::region_id region;
    /// `IP:port` of its HTTP interface.
    std::string address;
    /// The routes that it serves; sorted by id.
    std::vector<base::route_id> routes;
    /// Maximum number of concurrent requests.
    std::uint32_t slots = 1;
    /// Whether it rejects a command whose fencing token is older than one it has seen.
    bool checks_fencing = false;
    origin source;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_TARGET_HPP
