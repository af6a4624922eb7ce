#include "chicorylink/budget/account.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

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
