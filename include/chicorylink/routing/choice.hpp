#ifndef CHICORYLINK_ROUTING_CHOICE_HPP
#define CHICORYLINK_ROUTING_CHOICE_HPP

#include "chicorylink/base/ids.hpp"

#include <cstddef>

namespace chicorylink::routing {

/// @brief Where a request is sent.
enum class choice_kind {
    /// To a target of this region, now.
    target,
    /// Into the queue of this VM.
    queue,
    /// To a VM of another region.
    other_region,
    /// Rejected: no target of this or another allowed region can take it.
    refuse,
};

/// @brief The outcome of one routing decision.
struct choice {
    choice_kind kind = choice_kind::refuse;
    /// Index in `region_state::targets`, for `target`.
    std::size_t target = 0;
    /// The region, for `other_region`.
    base::region_id region;
    /// Prompt blocks that the target probably has in its cache.
    std::size_t cached_blocks = 0;
};

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_CHOICE_HPP
