#ifndef CHICORYLINK_FLEET_STORE_WATCH_HPP
#define CHICORYLINK_FLEET_STORE_WATCH_HPP

#include "chicorylink/base/units.hpp"

#include <cstddef>
#include <string>

namespace chicorylink::fleet {

/// @brief What a VM whose configuration has not been confirmed for a while knows about its region.
struct unconfirmed_vm {
    std::string ip;
    /// Number of VMs of the region that it hears from, itself included.
    std::size_t region_vms = 1;
    bool is_delegate = false;
    bool hears_delegate = false;
    /// A VM that it hears from has a fresh confirmation, so only the path to it is broken.
    bool hears_confirmed = false;
};

/// Average number of VMs of a region that query the store in place of its delegates in one window.
/// If the store rejects a third of all VMs, nearly every window still has one that it serves.
inline constexpr std::size_t store_readers_per_window = 8;

/// Time for which the same VMs query the store. Several windows fit between the time from which a
/// configuration counts as unconfirmed and the bound on withdrawn keys.
inline constexpr base::milliseconds store_reader_window{500};

/// @brief Whether a VM queries the store itself.
///
/// Delegates do, and so do VMs that can't rely on them. Of the others only a few do, in turns: when
/// the store is down for all, calls by every VM cost much and help nobody.
[[nodiscard]] bool should_query_store(const unconfirmed_vm& vm, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_STORE_WATCH_HPP
