#ifndef CHICORYLINK_FRONT_RETRY_TIMES_HPP
#define CHICORYLINK_FRONT_RETRY_TIMES_HPP

#include "chicorylink/base/units.hpp"

namespace chicorylink::front {

/// The shortest and the longest time that a refused caller is told to wait. Callers wait at most a
/// third of the time that they have left.
inline constexpr base::milliseconds shortest_retry_after{150};
inline constexpr base::milliseconds longest_retry_after{2000};

/// The longest time that a caller is told when the targets themselves asked for it. Callers come
/// back sooner than that whatever they are told.
inline constexpr base::milliseconds longest_told_wait{60'000};

/// While a VM waits for a configuration, the store and the peers answer within about this time.
inline constexpr base::milliseconds not_ready_retry_after{500};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_RETRY_TIMES_HPP
