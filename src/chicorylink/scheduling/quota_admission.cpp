#include "chicorylink/scheduling/quota_admission.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylink::scheduling {
namespace {

constexpr double ms_per_second = 1000;

/// Longest time that is told; a quota with a rate near zero has room in the far future only.
constexpr double max_wait_seconds = 3600;

/// Largest fraction of the burst that a request needs beyond the reserve; one that costs more would
/// never find its units in the bucket.
constexpr double max_need_fraction = 0.5;

double reserve_of(const quota_state& state)
{
    return state.burst * quota_reserve_fraction;
}

/// What the share has paid and its refill has not brought back yet.
double share_used(const quota_state& state)
{
    return std::max(0.0, share_capacity(state.per_second, state.burst) - state.share);
}

/// What preferred requests may overdraw: what the others took from the balance by the share.
double preferred_overdraft(const quota_state& state)
{
    return std::min(share_used(state), reserve_of(state));
}

/// What the others may overdraw: what the share has saved up.
double share_savings(const quota_state& state)
{
    return std::clamp(state.share, 0.0, reserve_of(state));
}

/// The balance from which a request that is not preferred passes without using the share.
double free_level(const quota_state& state, const quota_demand& demand)
{
    return reserve_of(state) + std::min(demand.units, max_need_fraction * state.burst);
}

/// Seconds until a preferred request passes. While the share is refilled, its part of the refill
/// reduces what may be overdrawn.
double preferred_wait(const quota_state& state)
{
    const double rate = state.per_second;
    const double overdraft = preferred_overdraft(state);
    const double needed = std::max(0.0, -(state.balance + overdraft));
    // What the share used beyond the reserve comes back first and leaves the overdraft as it is.
    const double at_limit = (share_used(state) - overdraft) / share_rate(rate);
    if (needed <= at_limit * rate) {
        return needed / rate;
    }
    const double later = at_limit + (needed - at_limit * rate) / (rate - share_rate(rate));
    return std::min(later, -state.balance / rate);
}

double other_wait(const quota_state& state, const quota_demand& demand)
{
    const double to_free = (free_level(state, demand) - state.balance) / state.per_second;
    const double to_share = std::max(0.0, -state.share / share_rate(state.per_second));
    const double to_balance = -(state.balance + share_savings(state)) / state.per_second;
    return std::max(0.0, std::min(to_free, std::max(to_share, to_balance)));
}

} // namespace

double share_rate(double per_second)
{
    return per_second * quota_share_fraction;
}

double share_capacity(double per_second, double burst)
{
    return std::min(share_rate(per_second) * quota_share_seconds, burst * quota_reserve_fraction);
}

bool is_preferred(const quota_demand& demand, double burst)
{
    // A quota that counts requests has no large ones, however small its burst is.
    const bool is_large = demand.units > 1 && demand.units > burst * large_request_fraction;
    return demand.priority <= last_urgent_priority && !is_large;
}

quota_path choose_quota_path(const quota_state& state, const quota_demand& demand)
{
    if (is_preferred(demand, state.burst)) {
        return state.balance + preferred_overdraft(state) > 0 ? quota_path::balance
                                                              : quota_path::none;
    }
    if (state.balance >= free_level(state, demand)) {
        return quota_path::balance;
    }
    return state.share > 0 && state.balance + share_savings(state) > 0 ? quota_path::share
                                                                       : quota_path::none;
}

base::milliseconds time_until_admitted(const quota_state& state, const quota_demand& demand)
{
    if (choose_quota_path(state, demand) != quota_path::none) {
        return base::milliseconds{0};
    }
    const double seconds =
        std::min(max_wait_seconds, is_preferred(demand, state.burst) ? preferred_wait(state)
                                                                     : other_wait(state, demand));
    // Levels must be exceeded, not only reached.
    return base::milliseconds{static_cast<std::int64_t>(std::ceil(seconds * ms_per_second)) + 1};
}

} // namespace chicorylink::scheduling
