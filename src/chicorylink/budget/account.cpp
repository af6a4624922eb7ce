#include "chicorylink/budget/account.hpp"

#include "chicorylink/budget/settings.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>

namespace chicorylink::budget {
namespace {

constexpr std::chrono::duration<double> demand_decay_time{1.0};

double decayed_demand(const account& team_account, base::time_point now)
{
    const std::chrono::duration<double> passed =
        std::max(now - team_account.demand_at, base::time_point::duration{0});
    return team_account.demand * std::exp(-passed / demand_decay_time);
}

} // namespace

micro_tokens valid_amount(const debt& loan, base::time_point now)
{
    return loan.until > now ? loan.amount : micro_tokens{0};
}

micro_tokens available(const account& team_account, base::time_point now)
{
    auto sum = std::max(team_account.own.balance(), micro_tokens{0});
    for (const auto& each : team_account.debts) {
        sum += valid_amount(each, now);
    }
    return sum;
}

std::int64_t lender_time(const debt& loan, base::time_point now)
{
    const auto passed = std::max(now - loan.granted_at, base::time_point::duration{0});
    return loan.stamp + (passed * (1000 - 2 * clock_drift_per_mille) / 1000).count();
}

void add_refund(debt& loan, const loan_refund& unused)
{
    constexpr std::int64_t merge_distance_ns = 100'000'000;
    constexpr std::size_t max_entries = 16;
    for (auto& each : loan.refunds) {
        const bool close = std::abs(each.stamp - unused.stamp) < merge_distance_ns;
        if (close || loan.refunds.size() >= max_entries) {
            // The earlier time is the safe one.
            each.stamp = std::min(each.stamp, unused.stamp);
            each.amount += unused.amount;
            return;
        }
    }
    loan.refunds.push_back(unused);
}

std::int64_t level_per_mille(const account& team_account)
{
    const auto cap = team_account.own.present_limits().cap;
    if (cap <= micro_tokens{0}) {
        return 0;
    }
    const double level =
        static_cast<double>(team_account.own.balance().value()) / static_cast<double>(cap.value());
    return std::clamp<std::int64_t>(std::llround(level * 1000), 0, 1000);
}

void add_demand(account& team_account, micro_tokens requested, base::time_point now)
{
    team_account.demand = decayed_demand(team_account, now) +
                          static_cast<double>(requested.value()) / demand_decay_time.count();
    team_account.demand_at = std::max(team_account.demand_at, now);
}

micro_tokens expected_demand(const account& team_account, base::nanoseconds duration,
                             base::time_point now)
{
    const std::chrono::duration<double> seconds = duration;
    return micro_tokens{
        static_cast<std::int64_t>(decayed_demand(team_account, now) * seconds.count())};
}

} // namespace chicorylink::budget
