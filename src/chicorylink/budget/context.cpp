#include "chicorylink/budget/context.hpp"

#include "chicorylink/budget/settings.hpp"

#include <algorithm>

namespace chicorylink::budget {
namespace {

/// What is lent abroad survives its lender, so that a slot's next owner must wait for it. A team in
/// a single region lends nothing abroad.
micro_tokens lendable_abroad(const split& how, micro_tokens cap)
{
    if (how.regions.size() == 1) {
        return micro_tokens{0};
    }
    return cap;
}

} // namespace

limits slot_limits(const context& now_known, const rules::team& who, std::size_t slot)
{
    auto divisor = divisor_of(split_of(who), who.id, now_known.region, slot);
    const auto older = now_known.held.find(who.id);
    if (older != now_known.held.end()) {
        for (const auto& how : older->second) {
            const auto other = divisor_of(how, who.id, now_known.region, slot);
            divisor = other == 0 ? 0 : std::max(divisor, divisor == 0 ? 0 : other);
        }
    }
    if (divisor == 0) {
        return {};
    }
    const auto rate = who.rate.value() * (micro_per_token / 1000) * minted_per_mille;
    const micro_tokens cap{to_micro(who.burst).value() / divisor};
    const bool recut = older != now_known.held.end();
    return {cap, rate / divisor, recut ? cap : lendable_abroad(split_of(who), cap)};
}

limits owned_limits(const context& now_known, const rules::team& who)
{
    limits sum;
    const auto parts = slots_of(who.id, split_of(who).parts) & now_known.owned;
    for (std::size_t slot = 0; slot < slot_count; ++slot) {
        if (parts.test(slot)) {
            const auto one = slot_limits(now_known, who, slot);
            sum.cap += one.cap;
            sum.rate += one.rate;
            sum.abroad += one.abroad;
        }
    }
    return sum;
}

micro_tokens idle_balance(const limits& of_slot, const slot_origin& origin, base::time_point now)
{
    const auto quarantine_end = std::clamp(origin.quarantined_until, origin.born, now);
    const auto first_cap = of_slot.cap - of_slot.abroad;
    const auto first = std::min(minted(of_slot.rate, quarantine_end - origin.born), first_cap);
    if (origin.quarantined_until > now) {
        return first;
    }
    return std::min(first + minted(of_slot.rate, now - quarantine_end), of_slot.cap);
}

} // namespace chicorylink::budget
