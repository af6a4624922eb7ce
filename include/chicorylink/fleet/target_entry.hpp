#ifndef CHICORYLINK_FLEET_TARGET_ENTRY_HPP
#define CHICORYLINK_FLEET_TARGET_ENTRY_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::fleet {

/// @brief What a target publishes about itself.
struct target_entry {
    target_name name;
    service_name service;
    /// `IP:port`. May be reused by another target after this one has ended.
    std::string address;
    data_center_name data_center;
    /// Empty if it states none, which is a version of its own.
    software_version version;
    /// Number of requests that it processes concurrently.
    std::uint32_t slots = 1;
    /// Whether it finishes its running requests and takes no new ones.
    bool leaving = false;
    /// Remaining time for which it can take only few requests, from the entry's last change.
    base::milliseconds cold_left{0};
    /// Calendar time of its start, in milliseconds; distinguishes two runs under one name.
    std::int64_t started_ms = 0;

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_ENTRY_HPP
