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

/// The right to mint in a region is cut into slots, each owned by at most one process. A team's
/// part of a region lies in up to `stripe_width` slots of one stripe.
inline constexpr std::size_t stripe_count = 21;
inline constexpr std::size_t stripe_width = 12;
inline constexpr std::size_t slot_count = stripe_count * stripe_width;

using slot_set = std::bitset<slot_count>;

/// @brief For each slot of a region the VM that should own it; zero when no VM is live.
using slot_owners = std::array<base::vm_id, slot_count>;

/// @brief How a team's rate and burst are cut: equally over regions, then over slots. It follows
/// from the rules alone, so that VMs with different member lists cut alike.
struct split {
    std::vector<base::region_id> regions;
    std::uint32_t parts = 1;

    friend bool operator==(const split&, const split&) = default;
};

/// @brief The split that the rules of a team lead to.
[[nodiscard]] split split_of(const rules::team& who);

/// @brief A digest that differs when the split does.
[[nodiscard]] std::uint64_t digest_of(const split& how);

/// @brief The slots that hold a team's parts within each of its regions.
[[nodiscard]] slot_set slots_of(base::team_id team, std::uint32_t parts);

/// @brief By which number rate and burst are divided for one slot; zero when it holds nothing.
[[nodiscard]] std::int64_t divisor_of(const split& how, base::team_id team, base::region_id where,
                                      std::size_t slot);

/// @brief The intended owners of a region's slots among its live VMs: rendezvous hashing with the
/// slots of each stripe spread evenly.
[[nodiscard]] slot_owners owners_of(base::region_id where, const membership::view& members);

/// @brief The VMs of a region that callers of a team should ask first.
/// @param count The largest number of VMs returned. Those that own parts of the team come first.
[[nodiscard]] std::vector<base::vm_id> homes_of(const rules::team& who, base::region_id where,
                                                const membership::view& members, std::size_t count);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_PLACEMENT_HPP
