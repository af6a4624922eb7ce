#ifndef CHICORYLINK_FLEET_TARGET_ENTRY_HPP
#define CHICORYLINK_FLEET_TARGET_ENTRY_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"

#include <cstdint>
#include <string>

namespace chicorylink::fleet {

/// @brief What a target publishes of itself.
struct target_entry {
    target_name name;
    service_name service;
    /// `IP:port`. May be used again by another target after this one has ended.
    std::string address;
    data_center_name data_center;
    /// Requests that it works on at the same time.
    std::uint32_t slots = 1;
    /// It finishes what runs and takes no new work.
    bool leaving = false;
    /// How much longer it bears only few requests, counted from the entry's last change.
    base::milliseconds cold_left{0};
    /// Calendar time of its start, in milliseconds; tells two runs under one name apart.
    std::int64_t started_ms = 0;

    friend bool operator==(const target_entry&, const target_entry&) = default;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_TARGET_ENTRY_HPP
