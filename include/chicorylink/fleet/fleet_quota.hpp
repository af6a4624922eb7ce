#ifndef CHICORYLINK_FLEET_FLEET_QUOTA_HPP
#define CHICORYLINK_FLEET_FLEET_QUOTA_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/quota_credit.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/team.hpp"
#include "chicorylink/scheduling/quota_admission.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorylink::fleet {

/// @brief Fleet-wide quotas of the teams, as seen by one process.
///
/// Each process keeps token buckets with the fleet's whole rate and drains them by what it admits
/// itself and by what other processes report. Reports arrive late, so the balance may drop below
/// zero and the fleet may exceed its rate by the traffic of one or two heartbeat intervals; the
/// slack of the quota covers that. While VMs that may still admit requests are silent, only the
/// live VMs' share of the rate is used.
///
/// The share that is kept for less urgent and large requests is a second bucket of the team with an
/// id of its own, so that the totals of its use reach the other processes on the same paths. A
/// process that does not know it ignores the id.
class fleet_quota {
public:
    /// @param region Region of this VM.
    fleet_quota(region_name region, base::time_point now)
        : m_region(std::move(region)), m_updated_at(now)
    {
    }

    /// @brief Applies the teams of a new configuration. A new team starts with a full bucket, a
    /// changed one keeps its balance up to the new burst.
    void set_teams(const std::vector<team>& teams, base::time_point now);

    /// @brief Sets the number of VMs that may admit requests and how many of them are live.
    void set_fleet(std::size_t known, std::size_t live, base::time_point now);

    /// @brief Applies a report of what a VM of this region has admitted since its start.
    void on_member_usage(const std::string& ip, base::incarnation run,
                         const std::vector<team_usage>& usage, base::time_point now);

    /// @brief Applies a digest: what a region has admitted since the start of its delegate.
    void on_region_usage(const region_digest& digest, base::time_point now);

    /// @brief Whether a team's request may be admitted now, from the quota or from the refunds of
    /// earlier requests.
    [[nodiscard]] bool has_room(const team& caller_team, base::time_point now,
                                const scheduling::quota_demand& demand = {});

    /// @brief Takes credit for a request that has room, so that no other one is admitted from it.
    [[nodiscard]] quota_charge hold_credit(const team& caller_team,
                                           const scheduling::quota_demand& demand,
                                           base::time_point now);

    /// @brief Charges an urgent request that is being sent; `units` as returned by `units_of`.
    void charge(const team& caller_team, std::uint64_t units, base::time_point now);

    /// @brief Charges a request that is being sent with what the held credit does not cover.
    /// @return The whole charge.
    [[nodiscard]] quota_charge charge(const team& caller_team,
                                      const scheduling::quota_demand& demand,
                                      const quota_charge& held, base::time_point now);

    /// @brief Makes the charge of a request that was refused and surely has not run a credit of
    /// its team. Reported totals stay as they are.
    /// @return Units that may be spent again.
    std::uint64_t refund(const team& caller_team, const quota_charge& charge, base::time_point now);

    /// @brief Time until a request like a refused one would be admitted.
    [[nodiscard]] base::milliseconds time_until_room(const team& caller_team, base::time_point now,
                                                     const scheduling::quota_demand& demand = {});

    /// @brief A team's levels, for the log; none without a limit.
    [[nodiscard]] std::optional<scheduling::quota_state> state_of(const team& caller_team,
                                                                  base::time_point now);

    /// @brief What this process has admitted since its start, for its heartbeats.
    [[nodiscard]] std::vector<team_usage> own_usage() const;

    /// @brief What this VM has admitted and the others of its region have reported, for the
    /// region's digest.
    [[nodiscard]] std::vector<team_usage> region_usage() const;

private:
    struct bucket {
        quota limit;
        double balance = 0;
        std::uint64_t admitted = 0;
        quota_credit credit;
        /// When a request that is not preferred last asked; the share saves up for such requests.
        std::optional<base::time_point> share_wanted_at;
        /// From when on this VM may admit another request that is not preferred.
        base::time_point opens_at{};
        /// What this VM and all others admitted lately, with exponentially decreasing weight.
        double own_recent = 0;
        double others_recent = 0;
    };
    /// The last totals from one process or delegate, from which differences are computed.
    struct reporter {
        base::incarnation run;
        base::time_point reported_at{};
        std::unordered_map<base::team_id, double> totals;
    };
    /// What a region admitted, as reported on two paths with different delays. Each is a total
    /// since this process began to listen; the larger one counts.
    struct regional_total {
        double from_members = 0;
        double from_digests = 0;
        double drained = 0;
    };
    struct region_state {
        std::map<base::incarnation, reporter> delegates;
        base::incarnation active_delegate;
        std::unordered_map<base::team_id, regional_total> totals;
    };

    void refill(base::time_point now);
    [[nodiscard]] bucket make_bucket(base::team_id id, const quota& limit) const;
    /// @brief The bucket of a team's limit; null without one.
    [[nodiscard]] bucket* limited_bucket(const team& caller_team);
    [[nodiscard]] scheduling::quota_state state_of(const team& caller_team,
                                                   const bucket& entry) const;
    void drain(base::team_id team, regional_total& total);
    /// @brief Charges a request that is not preferred to the share, if it pays, and sets the pause
    /// after it.
    void charge_share(const team& caller_team, bucket& entry, scheduling::quota_path path,
                      double rate, const quota_charge& charged);
    /// @brief This VM's part of what a team was admitted lately.
    [[nodiscard]] double own_fraction(const bucket& entry) const;
    [[nodiscard]] double own_admitted(base::team_id team) const;

    region_name m_region;
    std::unordered_map<base::team_id, bucket> m_buckets;
    std::map<std::string, reporter> m_members;
    std::map<region_name, region_state> m_regions;
    base::time_point m_updated_at;
    double m_live_fraction = 1;
    std::size_t m_live_vms = 1;
};

/// @brief Cost of a request in the units of a quota.
/// @param prompt_and_answer_tokens Total that the request states; empty if it states none.
[[nodiscard]] std::uint64_t units_of(const quota& limit,
                                     std::optional<std::uint64_t> prompt_and_answer_tokens);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_FLEET_QUOTA_HPP
