#ifndef CHICORYLINK_BASE_BOOT_CLOCK_HPP
#define CHICORYLINK_BASE_BOOT_CLOCK_HPP

#include "chicorylink/base/units.hpp"

namespace chicorylink::base {

/// @brief The time since this machine booted, time in suspension included.
///
/// Permissions that expire are measured by it: a process that was suspended finds them expired.
[[nodiscard]] time_point boot_now();

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_BOOT_CLOCK_HPP
