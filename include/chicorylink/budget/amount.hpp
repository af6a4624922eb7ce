#ifndef CHICORYLINK_BUDGET_AMOUNT_HPP
#define CHICORYLINK_BUDGET_AMOUNT_HPP

#include "chicorylink/base/strong.hpp"
#include "chicorylink/base/units.hpp"

#include <cstdint>

namespace chicorylink::budget {

struct micro_tokens_unit;

/// @brief Millionths of a token: balances are kept in them, so that minting loses no fractions.
using micro_tokens = base::quantity<micro_tokens_unit>;

inline constexpr std::int64_t micro_per_token = 1'000'000;

/// @brief The exact number of micro-tokens of whole tokens.
[[nodiscard]] constexpr micro_tokens to_micro(base::tokens amount)
{
    return micro_tokens{amount.value() * micro_per_token};
}

/// @brief The whole tokens contained in an amount.
[[nodiscard]] constexpr base::tokens whole_tokens(micro_tokens amount)
{
    return base::tokens{amount.value() / micro_per_token};
}

/// @brief What one VM may hold and mint of a team's tokens.
struct limits {
    micro_tokens cap;
    /// Micro-tokens a second.
    std::int64_t rate = 0;
    /// The part of the cap that may be lent to other regions.
    micro_tokens abroad;

    friend constexpr bool operator==(const limits&, const limits&) = default;
};

/// @brief The tokens minted at a rate within a duration, rounded down.
[[nodiscard]] micro_tokens minted(std::int64_t micro_per_second, base::nanoseconds duration);

/// @brief The time in which a rate mints an amount, rounded up; a very long one at rate zero.
[[nodiscard]] base::nanoseconds time_to_mint(std::int64_t micro_per_second, micro_tokens amount);

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_AMOUNT_HPP
