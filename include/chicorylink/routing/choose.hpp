#ifndef CHICORYLINK_ROUTING_CHOOSE_HPP
#define CHICORYLINK_ROUTING_CHOOSE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/routing/choice.hpp"
#include "chicorylink/routing/region_state.hpp"
#include "chicorylink/routing/request.hpp"
#include "chicorylink/rules/policy.hpp"
#include "chicorylink/rules/team.hpp"

#include <cstdint>
#include <optional>

namespace chicorylink::routing {

/// @brief The signature of a routing policy, for the project's own and the baselines.
using policy_function = choice (*)(const region_state& state, const request& asked,
                                   const rules::team& who, const rules::policy& weights,
                                   base::time_point now, std::uint64_t random_bits);

/// @brief Decides about a request that arrives: a target, the queue, another region or a refusal.
///
/// Pure: reads the state and changes nothing. The caller applies the choice.
/// @param who The request's team; it limits the regions.
/// @param random_bits Fresh random bits, for ties and sampling.
[[nodiscard]] choice choose(const region_state& state, const request& asked, const rules::team& who,
                            const rules::policy& weights, base::time_point now,
                            std::uint64_t random_bits);

/// @brief Chooses among the targets of this region.
///
/// Takes the target with the least sum of expected waiting and prefill among those that are
/// believed to hold the prompt's beginning, the session's place by rendezvous hash and random ones,
/// as long as its load stays within a bound of the pool's mean.
/// @return `target`, `queue` when all slots are taken, or `refuse` when no target takes work.
[[nodiscard]] choice choose_target(const region_state& state, const request& asked,
                                   const rules::policy& weights, base::time_point now,
                                   std::uint64_t random_bits);

/// @brief Chooses another region for a request that would wait here.
/// @param home The choice in this region; its warm blocks are lost by leaving.
/// @return The region; none when the request stays. Never one that the team may not use, and none
/// for a request that was forwarded, is pinned or is bound to its home.
[[nodiscard]] std::optional<base::region_id>
choose_region(const region_state& state, const request& asked, const rules::team& who,
              const rules::policy& weights, const choice& home, base::time_point now);

/// @brief Whether a request may be forwarded to a region at all.
[[nodiscard]] bool may_forward(const region_state& state, const request& asked,
                               const rules::team& who, base::region_id where);

/// @brief The slots of the pool that may be used now and those that are believed to be free.
struct pool_capacity {
    std::uint32_t usable = 0;
    std::uint32_t free = 0;
    /// Load over usable slots.
    double mean_use = 0;
};

[[nodiscard]] pool_capacity capacity_of(const region_state& state, base::time_point now);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_CHOOSE_HPP
