#ifndef CHICORYLINK_BASE_BOOT_CLOCK_HPP
#define CHICORYLINK_BASE_BOOT_CLOCK_HPP

#include "chicorylink/base/units.hpp"

namespace chicorylink::base {

/// @brief Time since this machine booted, including time spent suspended (`CLOCK_BOOTTIME`).
///
/// Permissions expire by this clock, so that a process finds them expired after a suspension.
[[nodiscard]] time_point boot_now();

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_BOOT_CLOCK_HPP
