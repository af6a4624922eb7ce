#ifndef CHICORYLINK_BUDGET_PLACEMENT_HPP
#define CHICORYLINK_BUDGET_PLACEMENT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/membership/view.hpp"
#include "chicorylink/rules/team.hpp"

#include <array>
#include <bitset>
#include <cstdint>
#include <vector>

namespace chicorylink::budget {

/// The right to mint in a region is divided into slots, each owned by at most one process. A
/// team's share of a region is spread over up to `stripe_width` slots of one stripe.
inline constexpr std::size_t stripe_count = 21;
inline constexpr std::size_t stripe_width = 12;
inline constexpr std::size_t slot_count = stripe_count * stripe_width;

using slot_set = std::bitset<slot_count>;

/// @brief The VM that should own each slot of a region; zero when no VM is live.
using slot_owners = std::array<base::vm_id, slot_count>;

/// @brief How a team's rate and burst are split: equally over regions, then over slots. It depends
/// only on the rules, so that VMs with different member lists compute the same split.
struct split {
    std::vector<base::region_id> regions;
    std::uint32_t parts = 1;

    friend bool operator==(const split&, const split&) = default;
};

/// @brief The split that follows from a team's rules.
[[nodiscard]] split split_of(const rules::team& team_rules);

/// @brief A hash of the split, to detect changes.
[[nodiscard]] std::uint64_t digest_of(const split& team_split);

/// @brief The slots that hold a team's parts; the same in each of its regions.
[[nodiscard]] slot_set slots_of(base::team_id team, std::uint32_t parts);

/// @brief The divisor of rate and burst for one slot; zero when the slot holds no part.
[[nodiscard]] std::int64_t divisor_of(const split& team_split, base::team_id team,
                                      base::region_id region, std::size_t slot);

/// @brief The intended owners of a region's slots among its live VMs: rendezvous hashing that
/// spreads the slots of each stripe evenly.
[[nodiscard]] slot_owners owners_of(base::region_id region, const membership::view& members);

/// @brief The VMs of a region that a team's callers should contact first.
/// @param count The maximum number of VMs. Those that should own most parts of the team come first.
[[nodiscard]] std::vector<base::vm_id> preferred_vms_of(const rules::team& team_rules,
                                                        base::region_id region,
                                                        const membership::view& members,
                                                        std::size_t count);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_PLACEMENT_HPP
