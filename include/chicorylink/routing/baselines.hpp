#ifndef CHICORYLINK_ROUTING_BASELINES_HPP
#define CHICORYLINK_ROUTING_BASELINES_HPP

#include "chicorylink/routing/choose.hpp"

namespace chicorylink::routing {

/// Simple policies to compare `choose` with. The first four distribute work over all regions that
/// the team may use; a forwarded request is distributed over the targets of its region. None of
/// them queues requests: the targets do.

/// @brief A random target.
[[nodiscard]] choice random_policy(const region_state& state, const request& req,
                                   const rules::team& team, const rules::policy& weights,
                                   base::time_point now, std::uint64_t random_bits);

/// @brief Round robin over the targets.
[[nodiscard]] choice round_robin_policy(const region_state& state, const request& req,
                                        const rules::team& team, const rules::policy& weights,
                                        base::time_point now, std::uint64_t random_bits);

/// @brief The target whose last report shows the least load.
[[nodiscard]] choice least_load_policy(const region_state& state, const request& req,
                                       const rules::team& team, const rules::policy& weights,
                                       base::time_point now, std::uint64_t random_bits);

/// @brief The session's home target by rendezvous hash, regardless of its load.
[[nodiscard]] choice affinity_policy(const region_state& state, const request& req,
                                     const rules::team& team, const rules::policy& weights,
                                     base::time_point now, std::uint64_t random_bits);

/// @brief The target of this region with the lowest last reported load; never another region.
[[nodiscard]] choice local_only_policy(const region_state& state, const request& req,
                                       const rules::team& team, const rules::policy& weights,
                                       base::time_point now, std::uint64_t random_bits);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_BASELINES_HPP
