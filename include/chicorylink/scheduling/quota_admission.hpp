#ifndef CHICORYLINK_SCHEDULING_QUOTA_ADMISSION_HPP
#define CHICORYLINK_SCHEDULING_QUOTA_ADMISSION_HPP

#include "chicorylink/base/units.hpp"

namespace chicorylink::scheduling {

/// Fraction of a team's burst that less urgent and large requests leave free unless their share
/// pays.
inline constexpr double quota_reserve_fraction = 0.2;

/// Fraction of the burst by which preferred requests may overdraw the balance after a long prompt
/// that cost more than its share had. Reports of other VMs alone nearly use up the overage of the
/// quota's bound when a team sends at six times its rate.
inline constexpr double quota_overdraft_fraction = 0.05;

/// Fraction of a team's rate that is kept for less urgent and large requests while the balance is
/// short.
inline constexpr double quota_share_fraction = 0.25;

/// What the share may save up, as the time in which it is refilled.
inline constexpr double quota_share_seconds = 2;

/// Requests of routes with a higher priority number than this are less urgent.
inline constexpr int last_urgent_priority = 1;

/// Requests that cost more than this fraction of the burst are large, whatever their urgency.
inline constexpr double large_request_fraction = 0.25;

/// @brief A team's quota at one moment.
struct quota_state {
    /// What may be admitted now; below zero after a request that cost more than there was.
    double balance = 0;
    /// The part of it that is saved up for less urgent and large requests; below zero by what they
    /// used beyond it.
    double share = 0;
    /// Both as far as they apply to the live part of the fleet.
    double burst = 0;
    double per_second = 0;
    /// Seconds until this VM may admit another request that is not preferred; see `pause_after`.
    double opens_in = 0;
};

/// @brief What a request asks of its team's quota.
struct quota_demand {
    double units = 0;
    /// Priority of its route; 0 is the most urgent.
    int priority = 0;
};

/// @brief How a request is admitted.
enum class quota_path {
    none,
    /// From the balance alone.
    balance,
    /// From the share of less urgent and large requests, and from the balance.
    share,
};

/// @brief Refill rate and capacity of the share.
[[nodiscard]] double share_rate(double per_second);
[[nodiscard]] double share_capacity(double per_second, double burst);

/// @brief Whether a request is urgent and not large.
[[nodiscard]] bool is_preferred(const quota_demand& demand, double burst);

/// @brief Decides whether a request may be admitted now.
///
/// A preferred request leaves alone what the share has saved up, and does not wait until the share
/// has repaid what a long prompt took beyond it. Another request passes if the reserve stays free,
/// or else from the share.
[[nodiscard]] quota_path choose_quota_path(const quota_state& state, const quota_demand& demand);

/// @brief Seconds for which a VM leaves the balance to the other VMs after it has admitted a
/// request that is not preferred; no matter while half of the burst is left.
///
/// All VMs see the same balance and hear late what the others use. At several times the rate, each
/// would use it once more before it hears.
/// @param own_fraction The VM's part of what its team was admitted lately, over all VMs.
[[nodiscard]] double pause_after(quota_path path, double units, double per_second,
                                 double own_fraction);

/// @brief Time until such a request would be admitted if no other one is; zero if it would be now.
[[nodiscard]] base::milliseconds time_until_admitted(const quota_state& state,
                                                     const quota_demand& demand);

} // namespace chicorylink::scheduling

#endif // CHICORYLINK_SCHEDULING_QUOTA_ADMISSION_HPP
