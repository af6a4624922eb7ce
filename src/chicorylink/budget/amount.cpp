#include "chicorylink/budget/amount.hpp"

#include <algorithm>
#include <limits>

namespace chicorylink::budget {
namespace {

constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
/// Means "never" but can be added to a time point without overflow.
constexpr base::nanoseconds max_wait = std::chrono::hours(24);

} // namespace

micro_tokens minted(std::int64_t micro_per_second, base::nanoseconds duration)
{
    const auto product = static_cast<__int128>(micro_per_second) * duration.count();
    const auto amount = product / nanoseconds_per_second;
    constexpr auto largest = std::numeric_limits<std::int64_t>::max() / 4;
    return micro_tokens{static_cast<std::int64_t>(std::min<__int128>(amount, largest))};
}

base::nanoseconds time_to_mint(std::int64_t micro_per_second, micro_tokens amount)
{
    if (amount.value() <= 0) {
        return base::nanoseconds{0};
    }
    if (micro_per_second <= 0) {
        return max_wait;
    }
    const auto product = static_cast<__int128>(amount.value()) * nanoseconds_per_second;
    const auto wait = (product + micro_per_second - 1) / micro_per_second;
    return base::nanoseconds{static_cast<std::int64_t>(std::min<__int128>(wait, max_wait.count()))};
}

} // namespace chicorylink::budget
