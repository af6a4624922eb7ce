#include "chicorylink/fleet/return_time.hpp"

#include <algorithm>

namespace chicorylink::fleet {
namespace {

/// Callers come back over this time at most, however long the wait is: the length of a usual peak.
constexpr base::milliseconds longest_queue_spread{2000};

/// The same for a time that targets asked for.
constexpr base::milliseconds longest_asked_spread{500};

constexpr std::int64_t percent = 100;

} // namespace

base::milliseconds return_time(base::milliseconds wait, return_spread spread, std::uint64_t seed)
{
    const auto told = std::clamp(wait, shortest_return, longest_return);
    const auto most = spread == return_spread::queue ? longest_queue_spread : longest_asked_spread;
    const auto part = static_cast<std::int64_t>(seed % percent);
    return told + std::min(told, most) * part / percent;
}

} // namespace chicorylink::fleet
