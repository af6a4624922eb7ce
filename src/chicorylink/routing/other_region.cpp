#include "chicorylink/routing/other_region.hpp"

#include <cmath>

namespace chicorylink::routing {
namespace {

/// Delay before an unreachable region is tried again.
constexpr base::milliseconds failure_backoff{2000};

} // namespace

double link_use(const other_region& destination, base::time_point now)
{
    const std::chrono::duration<double> passed = now - destination.link_used_at;
    const std::chrono::duration<double> term = link_use_window;
    return destination.link_used * std::exp(-passed / term);
}

void on_link_bytes(other_region& destination, base::bytes amount, base::time_point now)
{
    const std::chrono::duration<double> term = link_use_window;
    destination.link_used =
        link_use(destination, now) + static_cast<double>(amount.value()) / term.count();
    destination.link_used_at = now;
}

bool reachable(const other_region& destination, base::time_point now)
{
    const auto reported =
        destination.reported_at && now - *destination.reported_at <= max_summary_age;
    const auto failed = destination.failed_at && now - *destination.failed_at < failure_backoff;
    return reported && !failed;
}

std::int64_t remaining_free_slots(const other_region& destination, std::uint32_t vm_count)
{
    const auto sent = static_cast<std::int64_t>(destination.sent_since_report) * vm_count;
    return static_cast<std::int64_t>(destination.free_slots) - sent;
}

} // namespace chicorylink::routing
