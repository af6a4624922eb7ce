#include "chicorylink/budget/account.hpp"

#include "chicorylink/budget/settings.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>

namespace chicorylink::budget {
namespace {

constexpr std::chrono::duration<double> demand_memory{1.0};

double faded_demand(const account& which, base::time_point now)
{
    const std::chrono::duration<double> passed =
        std::max(now - which.demand_at, base::time_point::duration{0});
    return which.demand * std::exp(-passed / demand_memory);
}

} // namespace

micro_tokens valid_amount(const debt& which, base::time_point now)
{
    return which.until > now ? which.amount : micro_tokens{0};
}

micro_tokens available(const account& which, base::time_point now)
{
    auto sum = std::max(which.own.balance(), micro_tokens{0});
    for (const auto& each : which.debts) {
        sum += valid_amount(each, now);
    }
    return sum;
}

std::int64_t lender_time(const debt& which, base::time_point now)
{
    const auto passed = std::max(now - which.granted_at, base::time_point::duration{0});
    return which.stamp + (passed * (1000 - 2 * clock_drift_per_mille) / 1000).count();
}

void add_refund(debt& which, const loan_refund& unused)
{
    constexpr std::int64_t close_together = 100'000'000;
    constexpr std::size_t most_entries = 16;
    for (auto& each : which.refunds) {
        const bool close = std::abs(each.stamp - unused.stamp) < close_together;
        if (close || which.refunds.size() >= most_entries) {
            // The earlier time is the cautious one.
            each.stamp = std::min(each.stamp, unused.stamp);
            each.amount += unused.amount;
            return;
        }
    }
    which.refunds.push_back(unused);
}

std::int64_t level_per_mille(const account& which)
{
    const auto cap = which.own.present_limits().cap;
    if (cap <= micro_tokens{0}) {
        return 0;
    }
    const double level =
        static_cast<double>(which.own.balance().value()) / static_cast<double>(cap.value());
    return std::clamp<std::int64_t>(std::llround(level * 1000), 0, 1000);
}

void note_demand(account& which, micro_tokens requested, base::time_point now)
{
    which.demand =
        faded_demand(which, now) + static_cast<double>(requested.value()) / demand_memory.count();
    which.demand_at = std::max(which.demand_at, now);
}

micro_tokens expected_demand(const account& which, base::nanoseconds duration, base::time_point now)
{
    const std::chrono::duration<double> seconds = duration;
    return micro_tokens{static_cast<std::int64_t>(faded_demand(which, now) * seconds.count())};
}

} // namespace chicorylink::budget
