#ifndef CHICORYLINK_FLEET_STORE_WATCH_HPP
#define CHICORYLINK_FLEET_STORE_WATCH_HPP

#include "chicorylink/base/units.hpp"

#include <cstddef>
#include <string>

namespace chicorylink::fleet {

/// @brief What a VM whose configuration nobody confirmed for a while knows of its region.
struct unconfirmed_vm {
    std::string ip;
    /// VMs of the region that it hears, itself included.
    std::size_t region_vms = 1;
    bool is_delegate = false;
    bool hears_delegate = false;
    /// A VM that it hears has a fresh proof, so only the way to it is broken.
    bool hears_confirmed = false;
};

/// VMs of a region that ask the store in its delegates' place in the same window, on average. Where
/// the store turns away a third of all VMs, nearly every window has one that it serves.
inline constexpr std::size_t store_helpers = 8;

/// How long the same VMs help. Several windows fit between the first doubt and the bound on
/// withdrawn keys.
inline constexpr base::milliseconds helper_window{500};

/// @brief Whether a VM asks the store itself.
///
/// Delegates do, and whoever can't rely on them. Of the others only a few do, by turns: when the
/// store is down for all, calls of every VM cost much and help nobody.
[[nodiscard]] bool asks_store(const unconfirmed_vm& who, base::time_point now);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_STORE_WATCH_HPP
