#ifndef CHICORYLINK_BASE_UNITS_HPP
#define CHICORYLINK_BASE_UNITS_HPP

#include "chicorylink/base/strong.hpp"

#include <chrono>

namespace chicorylink::base {

struct tokens_unit;
struct tokens_per_second_unit;
struct bytes_unit;
struct bytes_per_second_unit;

using tokens = quantity<tokens_unit>;
using tokens_per_second = quantity<tokens_per_second_unit>;
using bytes = quantity<bytes_unit>;
using bytes_per_second = quantity<bytes_per_second_unit>;

using nanoseconds = std::chrono::nanoseconds;
using milliseconds = std::chrono::milliseconds;

/// Monotonic time of one process. Must not be compared across processes.
using time_point = std::chrono::steady_clock::time_point;

/// Wall-clock time, only for logs and the audit trail.
using wall_time = std::chrono::system_clock::time_point;

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_UNITS_HPP
