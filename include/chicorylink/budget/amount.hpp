#ifndef CHICORYLINK_BUDGET_AMOUNT_HPP
#define CHICORYLINK_BUDGET_AMOUNT_HPP

#include "chicorylink/base/strong.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::budget {

struct micro_tokens_unit;

/// @brief Millionths of a token, the unit of balances: minting loses no fractions.
using micro_tokens = base::quantity<micro_tokens_unit>;

inline constexpr std::int64_t micro_per_token = 1'000'000;

/// @brief Converts whole tokens to micro-tokens exactly.
[[nodiscard]] constexpr micro_tokens to_micro(base::tokens amount)
{
    return micro_tokens{amount.value() * micro_per_token};
}

/// @brief Converts micro-tokens to whole tokens, rounded toward zero.
[[nodiscard]] constexpr base::tokens whole_tokens(micro_tokens amount)
{
    return base::tokens{amount.value() / micro_per_token};
}

/// @brief How many of a team's tokens one VM may hold and mint.
struct limits {
    micro_tokens cap;
    /// Micro-tokens per second.
    std::int64_t rate = 0;
    /// The part of the cap that may be lent to other regions.
    micro_tokens other_region_cap;

    friend constexpr bool operator==(const limits&, const limits&) = default;
};

/// @brief The tokens minted at a rate within a duration, rounded down.
[[nodiscard]] micro_tokens minted(std::int64_t micro_per_second, base::nanoseconds duration);

/// @brief The time in which a rate mints an amount, rounded up and at most 24 hours.
[[nodiscard]] base::nanoseconds time_to_mint(std::int64_t micro_per_second, micro_tokens amount);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_AMOUNT_HPP
