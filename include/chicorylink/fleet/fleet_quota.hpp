#ifndef CHICORYLINK_FLEET_FLEET_QUOTA_HPP
#define CHICORYLINK_FLEET_FLEET_QUOTA_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/region_digest.hpp"
#include "chicorylink/fleet/team.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chicorylink::fleet {

/// @brief The teams' quotas over the whole fleet, as one process sees them.
///
/// Each process keeps a token bucket of the fleet's whole rate and drains it by what it admits
/// itself and by what the others say that they admitted. What others admit is learned late, so the
/// bucket may go below zero and the fleet above its rate by the traffic of one or two heartbeat
/// intervals; the slack of the quota covers that. While VMs that may still admit are not heard,
/// only the heard VMs' part of the rate is used.
class fleet_quota {
public:
    /// @param region The region of this VM.
    fleet_quota(region_name region, base::time_point now)
        : m_region(std::move(region)), m_updated_at(now)
    {
    }

    /// @brief Takes the teams of a new configuration over. A new team starts with a full bucket,
    /// a changed one keeps what it has up to the new burst.
    void set_teams(const std::vector<team>& teams, base::time_point now);

    /// @brief Sets the VMs that may admit and those of them that are heard.
    void set_fleet(std::size_t known, std::size_t heard, base::time_point now);

    /// @brief A VM of the own region told what it has admitted since its start.
    void on_member_usage(const std::string& ip, base::incarnation run,
                         const std::vector<team_usage>& usage, base::time_point now);

    /// @brief A delegate's digest tells what its region has admitted since the delegate's start.
    void on_region_usage(const region_digest& digest, base::time_point now);

    /// @brief Whether a team's request may be admitted now.
    [[nodiscard]] bool has_room(const team& who, base::time_point now);

    /// @brief Notes that a request was sent; `units` as `units_of` counts them.
    void charge(const team& who, std::uint64_t units, base::time_point now);

    /// @brief How long until a refused team has room again.
    [[nodiscard]] base::milliseconds room_in(const team& who, base::time_point now);

    /// @brief What this process has admitted since its start, for its heartbeats.
    [[nodiscard]] std::vector<team_usage> own_usage() const;

    /// @brief What the VMs of this region told and this one admitted, for the region's digest.
    [[nodiscard]] std::vector<team_usage> region_usage() const;

private:
    struct bucket {
        quota limit;
        double balance = 0;
        std::uint64_t admitted = 0;
    };
    /// The sums of one process or delegate, by which the next ones become differences.
    struct reporter {
        base::incarnation run;
        base::time_point told_at{};
        std::unordered_map<base::team_id, double> sums;
    };
    /// What a region admitted, by two ways that lag differently. Each is a sum since this process
    /// began to listen; the larger one counts.
    struct regional_sum {
        double by_members = 0;
        double by_digests = 0;
        double drained = 0;
    };
    struct region_entry {
        std::map<base::incarnation, reporter> delegates;
        base::incarnation current;
        std::unordered_map<base::team_id, regional_sum> sums;
    };

    void refill(base::time_point now);
    void drain(base::team_id team, regional_sum& sum);
    [[nodiscard]] double own_admitted(base::team_id team) const;

    region_name m_region;
    std::unordered_map<base::team_id, bucket> m_buckets;
    std::map<std::string, reporter> m_members;
    std::map<region_name, region_entry> m_regions;
    base::time_point m_updated_at;
    double m_heard_part = 1;
};

/// @brief What a request counts in a quota.
/// @param prompt_and_answer_tokens The sum that the request names; empty when it names none.
[[nodiscard]] std::uint64_t units_of(const quota& limit,
                                     std::optional<std::uint64_t> prompt_and_answer_tokens);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_FLEET_QUOTA_HPP
