#ifndef CHICORYLINK_ROUTING_BASELINES_HPP
#define CHICORYLINK_ROUTING_BASELINES_HPP

#include "chicorylink/routing/choose.hpp"

namespace chicorylink::routing {

/// Simple policies against which the project's own is measured. The first four spread work over
/// all regions that the team may use; a forwarded request is spread over the targets of its region.
/// None of them queues: targets do.

/// @brief A random target.
[[nodiscard]] choice random_policy(const region_state& state, const request& asked,
                                   const rules::team& who, const rules::policy& weights,
                                   base::time_point now, std::uint64_t random_bits);

/// @brief The targets in turn.
[[nodiscard]] choice round_robin_policy(const region_state& state, const request& asked,
                                        const rules::team& who, const rules::policy& weights,
                                        base::time_point now, std::uint64_t random_bits);

/// @brief The target whose last report shows the least load.
[[nodiscard]] choice least_load_policy(const region_state& state, const request& asked,
                                       const rules::team& who, const rules::policy& weights,
                                       base::time_point now, std::uint64_t random_bits);

/// @brief The session's place by rendezvous hash, whatever its load.
[[nodiscard]] choice affinity_policy(const region_state& state, const request& asked,
                                     const rules::team& who, const rules::policy& weights,
                                     base::time_point now, std::uint64_t random_bits);

/// @brief The least loaded target of this region by its last report; never another region.
[[nodiscard]] choice local_only_policy(const region_state& state, const request& asked,
                                       const rules::team& who, const rules::policy& weights,
                                       base::time_point now, std::uint64_t random_bits);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_BASELINES_HPP
