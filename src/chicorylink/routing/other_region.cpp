#include "chicorylink/routing/other_region.hpp"

#include <cmath>

namespace chicorylink::routing {
namespace {

/// A region that could not be reached is tried again after this time.
constexpr base::milliseconds failure_term{2000};

} // namespace

double link_use(const other_region& where, base::time_point now)
{
    const std::chrono::duration<double> passed = now - where.link_used_at;
    const std::chrono::duration<double> term = link_use_term;
    return where.link_used * std::exp(-passed / term);
}

void on_link_bytes(other_region& where, base::bytes amount, base::time_point now)
{
    const std::chrono::duration<double> term = link_use_term;
    where.link_used = link_use(where, now) + static_cast<double>(amount.value()) / term.count();
    where.link_used_at = now;
}

bool reachable(const other_region& where, base::time_point now)
{
    const auto reported = where.reported_at && now - *where.reported_at <= summary_bound;
    const auto failed = where.failed_at && now - *where.failed_at < failure_term;
    return reported && !failed;
}

std::int64_t remaining_free_slots(const other_region& where, std::uint32_t sharers)
{
    const auto sent = static_cast<std::int64_t>(where.sent_since_report) * sharers;
    return static_cast<std::int64_t>(where.free_slots) - sent;
}

} // namespace chicorylink::routing
