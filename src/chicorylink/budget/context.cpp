#include "chicorylink/budget/context.hpp"

#include "chicorylink/budget/settings.hpp"

#include <algorithm>

namespace chicorylink::budget {
namespace {

/// Loans to other regions outlive their lender, so that a slot's next owner must wait for them. A
/// team with a single region lends nothing to other regions.
micro_tokens lending_cap(const split& team_split, micro_tokens cap)
{
    if (team_split.regions.size() == 1) {
        return micro_tokens{0};
    }
    return cap;
}

} // namespace

limits slot_limits(const context& ctx, const rules::team& team_rules, std::size_t slot)
{
    auto divisor = divisor_of(split_of(team_rules), team_rules.id, ctx.region, slot);
    const auto older = ctx.held.find(team_rules.id);
    if (older != ctx.held.end()) {
        for (const auto& team_split : older->second) {
            const auto older_divisor = divisor_of(team_split, team_rules.id, ctx.region, slot);
            divisor = older_divisor == 0 ? 0 : std::max(divisor, divisor == 0 ? 0 : older_divisor);
        }
    }
    if (divisor == 0) {
        return {};
    }
    const auto rate = team_rules.rate.value() * (micro_per_token / 1000) * minted_per_mille;
    const micro_tokens cap{to_micro(team_rules.burst).value() / divisor};
    const bool split_kept = older != ctx.held.end();
    return {cap, rate / divisor, split_kept ? cap : lending_cap(split_of(team_rules), cap)};
}

limits owned_limits(const context& ctx, const rules::team& team_rules)
{
    limits sum;
    const auto parts = slots_of(team_rules.id, split_of(team_rules).parts) & ctx.owned;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (parts.test(slot)) {
            const auto slot_share = slot_limits(ctx, team_rules, slot);
            sum.cap += slot_share.cap;
            sum.rate += slot_share.rate;
            sum.other_region_cap += slot_share.other_region_cap;
        }
    }
    return sum;
}

micro_tokens idle_balance(const limits& of_slot, const slot_origin& origin, base::time_point now)
{
    const auto quarantine_end = std::clamp(origin.quarantined_until, origin.minting_since, now);
    const auto first_cap = of_slot.cap - of_slot.other_region_cap;
    const auto first =
        std::min(minted(of_slot.rate, quarantine_end - origin.minting_since), first_cap);
    if (origin.quarantined_until > now) {
        return first;
    }
    return std::min(first + minted(of_slot.rate, now - quarantine_end), of_slot.cap);
}

} // namespace chicorylink::budget
