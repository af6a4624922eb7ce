#ifndef CHICORYLINK_DISPATCH_ATTEMPT_ID_HPP
#define CHICORYLINK_DISPATCH_ATTEMPT_ID_HPP

#include "chicorylink/base/ids.hpp"

#include <compare>
#include <cstdint>

namespace chicorylink::dispatch {

/// @brief Identifies one attempt across all processes and restarts; correlates its response.
struct attempt_id {
    base::incarnation process;
    std::uint64_t counter = 0;

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ATTEMPT_ID_HPP
