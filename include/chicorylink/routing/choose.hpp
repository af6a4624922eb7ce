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

/// @brief The signature of a routing policy: `choose` or one of the baselines.
using policy_function = choice (*)(const region_state& state, const request& req,
                                   const rules::team& team, const rules::policy& weights,
                                   base::time_point now, std::uint64_t random_bits);

/// @brief Routes an arriving request to a target, the queue or another region, or refuses it.
/// Does not modify the state; the caller applies the choice.
/// @param team The request's team, which limits the regions.
/// @param random_bits Fresh random bits, for ties and sampling.
[[nodiscard]] choice choose(const region_state& state, const request& req, const rules::team& team,
                            const rules::policy& weights, base::time_point now,
                            std::uint64_t random_bits);

/// @brief Chooses among the targets of this region.
/// The candidates are targets that probably cache the prompt's prefix, the session's home target by
/// rendezvous hash, and random ones. Takes the one with the lowest sum of expected wait and prefill
/// whose load stays within a bound of the pool's mean.
/// @return `target`, `queue` if all slots are taken, or `refuse` if no target accepts work.
[[nodiscard]] choice choose_target(const region_state& state, const request& req,
                                   const rules::policy& weights, base::time_point now,
                                   std::uint64_t random_bits);

/// @brief Chooses another region for a request that would have to wait in this one.
/// @param local The choice in this region; forwarding loses its cached blocks.
/// @return The region; none if the request stays. Never a region that the team may not use, and
/// none for a request that was forwarded, is pinned or is bound to its home region.
[[nodiscard]] std::optional<base::region_id>
choose_region(const region_state& state, const request& req, const rules::team& team,
              const rules::policy& weights, const choice& local, base::time_point now);

/// @brief Whether a request is allowed to be forwarded to a region.
[[nodiscard]] bool may_forward(const region_state& state, const request& req,
                               const rules::team& team, base::region_id destination);

/// @brief The usable slots of a pool and the estimated number of free ones.
struct pool_capacity {
    std::uint32_t usable = 0;
    std::uint32_t free = 0;
    /// Load divided by usable slots.
    double mean_use = 0;
};

[[nodiscard]] pool_capacity capacity_of(const region_state& state, base::time_point now);

} // namespace chicorylink::routing

#endif // CHICORYLINK_ROUTING_CHOOSE_HPP
