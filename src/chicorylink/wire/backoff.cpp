#include "chicorylink/wire/backoff.hpp"

#include "chicorylink/base/ids.hpp"

#include <algorithm>

namespace chicorylink::wire {
namespace {

constexpr std::uint32_t max_doublings = 20;
constexpr std::uint64_t jitter_steps = 1024;

} // namespace

base::time_point next_attempt(base::time_point now, std::uint32_t failures, std::uint64_t seed,
                              const link_limits& limits)
{
    const auto doublings = std::min(failures > 0 ? failures - 1 : 0, max_doublings);
    const auto longest = std::min<base::nanoseconds>(
        limits.backoff_min * (std::int64_t{1} << doublings), limits.backoff_max);
    const auto step = static_cast<std::int64_t>(base::hash_pair(seed, failures) % jitter_steps);
    const auto half = longest / 2;
    return now + half + half * step / static_cast<std::int64_t>(jitter_steps);
}

} // namespace chicorylink::wire
