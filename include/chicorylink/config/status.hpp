#ifndef CHICORYLINK_CONFIG_STATUS_HPP
#define CHICORYLINK_CONFIG_STATUS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace chicorylink::config {

/// @brief The configuration state of this process, for operators.
struct status {
    base::config_version in_force;
    /// The newest version known from the service or from peers.
    base::config_version newest_heard;
    /// Whether requests may be served; a VM that is catching up first checks that its version is
    /// not outdated.
    bool ready = false;
    /// Whether this VM watches the service for its data center.
    bool on_duty = false;
    bool service_reachable = true;
    /// Whether the service's latest answer was older than the version in force.
    bool service_behind = false;
    std::optional<base::time_point> service_answered_at;
    std::uint64_t service_calls = 0;
    std::uint64_t service_failures = 0;
    std::uint64_t corrupt_contents = 0;
    /// The newest version that failed validation, and its first error.
    base::config_version rejected;
    std::string rejection;
};

} // namespace chicorylink::config

#endif // CHICORYLINK_CONFIG_STATUS_HPP
