#ifndef CHICORYLINK_BUDGET_CONTEXT_HPP
#define CHICORYLINK_BUDGET_CONTEXT_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/budget/amount.hpp"
#include "chicorylink/budget/message.hpp"
#include "chicorylink/budget/placement.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace chicorylink::budget {

/// @brief When an owned slot began to mint from empty, and until when loans that a former owner
/// made to other regions may still exist.
struct slot_origin {
    base::time_point minting_since;
    base::time_point quarantined_until;
};

/// @brief The input of all decisions in the ledger shards; immutable and replaced as a whole.
struct context {
    std::uint64_t number = 0;
    base::vm_id self;
    base::region_id region;
    std::shared_ptr<const rules::rulebook> book;
    slot_set owned;
    std::array<slot_origin, slot_count> origins{};
    /// The intended owners of the slots in each region.
    std::map<base::region_id, slot_owners> owners;
    std::map<base::team_id, std::vector<split>> held;
};

/// @brief The share of a team's limits that one slot of this region provides.
[[nodiscard]] limits slot_limits(const context& ctx, const rules::team& team_rules,
                                 std::size_t slot);

/// @brief The sum of `slot_limits` over the owned slots.
[[nodiscard]] limits owned_limits(const context& ctx, const rules::team& team_rules);

/// @brief The balance of an owned slot for a team that spent nothing since the slot began to mint.
[[nodiscard]] micro_tokens idle_balance(const limits& of_slot, const slot_origin& origin,
                                        base::time_point now);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_CONTEXT_HPP
