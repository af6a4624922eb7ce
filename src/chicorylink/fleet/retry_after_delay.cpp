#include "chicorylink/fleet/retry_after_delay.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// Retries are spread over this time at most, however long the wait is: the length of a usual peak.
constexpr base::milliseconds max_queue_spread{2000};

/// The same for a wait that targets asked for.
constexpr base::milliseconds max_requested_spread{500};

constexpr std::int64_t percent = 100;

} // namespace

base::milliseconds retry_after_delay(base::milliseconds wait, retry_jitter spread,
                                     std::uint64_t seed)
{
    const auto delay = std::clamp(wait, min_retry_after, max_retry_after);
    const auto max_spread = spread == retry_jitter::queue ? max_queue_spread : max_requested_spread;
    const auto part = static_cast<std::int64_t>(seed % percent);
    return delay + std::min(delay, max_spread) * part / percent;
}

} // namespace chicorylink::fleet
