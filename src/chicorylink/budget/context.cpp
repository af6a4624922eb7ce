#include "chicorylink/budget/context.hpp"

#include "chicorylink/budget/settings.hpp"

#include <algorithm>

namespace chicorylink::budget {

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
    return {micro_tokens{to_micro(who.burst).value() / divisor}, rate / divisor};
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
        }
    }
    return sum;
}

micro_tokens lendable_abroad(const limits& of_slot)
{
    return micro_tokens{of_slot.cap.value() / 2};
}

micro_tokens idle_balance(const limits& of_slot, const slot_origin& origin, base::time_point now)
{
    const auto quarantine_end = std::clamp(origin.quarantined_until, origin.born, now);
    const auto first_cap = of_slot.cap - lendable_abroad(of_slot);
    const auto first = std::min(minted(of_slot.rate, quarantine_end - origin.born), first_cap);
    if (origin.quarantined_until > now) {
        return first;
    }
    return std::min(first + minted(of_slot.rate, now - quarantine_end), of_slot.cap);
}

} // namespace chicorylink::budget
