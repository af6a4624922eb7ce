#include "chicorylink/scheduling/quota_admission.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylink::scheduling {
namespace {

constexpr double ms_per_second = 1000;

/// Longest time that is told; a quota with a rate near zero has room in the far future only.
constexpr double max_wait_seconds = 3600;

/// The parts of the rate that the VMs may use between two reports add up to this, since the
/// requests of a short time are not spread as those of the last seconds were. The levels bound what
/// they use.
constexpr double overbooking = 2;

/// From this fraction of the burst on, the balance covers what is admitted until reports arrive.
constexpr double plenty_fraction = 0.5;

/// Largest fraction of the burst that a request needs beyond the reserve; one that costs more would
/// never find its units in the bucket.
constexpr double max_need_fraction = 0.5;

double reserve_of(const quota_state& state)
{
    return state.burst * quota_reserve_fraction;
}

/// The balance above which preferred requests pass, for a given share.
double preferred_level(const quota_state& state)
{
    return std::clamp(state.share, -state.burst * quota_overdraft_fraction,
                      share_capacity(state.per_second, state.burst));
}

/// The balance from which a request that is not preferred passes without using the share.
double free_level(const quota_state& state, const quota_demand& demand)
{
    return reserve_of(state) + std::min(demand.units, max_need_fraction * state.burst);
}

/// Seconds until a preferred request passes. The level rises while the share is refilled.
double preferred_wait(const quota_state& state)
{
    const double rate = state.per_second;
    const double refill = share_rate(rate);
    const double lowest = -state.burst * quota_overdraft_fraction;
    const double capacity = share_capacity(rate, state.burst);
    const double at_lowest = (lowest - state.balance) / rate;
    if (state.share + refill * at_lowest <= lowest) {
        return at_lowest;
    }
    const double while_refilled = (state.share - state.balance) / (rate - refill);
    return state.share + refill * while_refilled <= capacity ? while_refilled
                                                             : (capacity - state.balance) / rate;
}

double other_wait(const quota_state& state, const quota_demand& demand)
{
    const double to_free = (free_level(state, demand) - state.balance) / state.per_second;
    const double to_share = -state.share / share_rate(state.per_second);
    const double to_balance = -state.balance / state.per_second;
    const double to_plenty = (state.burst * plenty_fraction - state.balance) / state.per_second;
    const double free_wait = std::max(to_free, std::min(state.opens_in, to_plenty));
    const double share_wait = std::max({to_share, to_balance, state.opens_in});
    return std::max(0.0, std::min(free_wait, share_wait));
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

double pause_after(quota_path path, double units, double per_second, double own_fraction)
{
    const double rate = path == quota_path::share ? share_rate(per_second) : per_second;
    return units / (rate * own_fraction * overbooking);
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
        return state.balance > preferred_level(state) ? quota_path::balance : quota_path::none;
    }
    const bool is_paused = state.opens_in > 0;
    if (state.balance >= free_level(state, demand) &&
        (!is_paused || state.balance >= state.burst * plenty_fraction)) {
        return quota_path::balance;
    }
    return state.share > 0 && state.balance > 0 && !is_paused ? quota_path::share
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
