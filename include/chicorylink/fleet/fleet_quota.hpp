#ifndef CHICORYLINK_FLEET_FLEET_QUOTA_HPP
#define CHICORYLINK_FLEET_FLEET_QUOTA_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/heartbeat.hpp"
#include "chicorylink/fleet/team.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorylink::fleet {

/// @brief The teams' quotas over the whole fleet, as one process sees them.
///
/// Each process keeps a token bucket of the fleet's whole rate and drains it by what it admits
/// itself and by what the others say that they admitted. What others admit between two heartbeats
/// is learned late, so the bucket may go below zero and the fleet above its rate by the traffic of
/// one heartbeat interval; the slack of the quota covers that. While VMs that may still admit are
/// not heard, only the heard VMs' part of the rate is used.
class fleet_quota {
public:
    explicit fleet_quota(base::time_point now) : m_updated_at(now) {}

    /// @brief Takes the teams of a new configuration over. A new team starts with a full bucket,
    /// a changed one keeps what it has up to the new burst.
    void set_teams(const std::vector<team>& teams, base::time_point now);

    /// @brief Sets the VMs that may admit and those of them that are heard.
    void set_fleet(std::size_t known, std::size_t heard, base::time_point now);

    /// @brief Takes over what another process has admitted since its start.
    void on_usage(const std::string& ip, base::incarnation run,
                  const std::vector<team_usage>& usage, base::time_point now);

    /// @brief Whether a team's request may be admitted now.
    [[nodiscard]] bool has_room(const team& who, base::time_point now);

    /// @brief Notes that a request was sent; `units` as `units_of` counts them.
    void charge(const team& who, std::uint64_t units, base::time_point now);

    /// @brief How long until a refused team has room again.
    [[nodiscard]] base::milliseconds room_in(const team& who, base::time_point now);

    /// @brief What this process has admitted since its start, for the heartbeats.
    [[nodiscard]] std::vector<team_usage> own_usage() const;

private:
    struct bucket {
        quota limit;
        double balance = 0;
        std::uint64_t admitted = 0;
    };
    struct reporter {
        base::incarnation run;
        std::unordered_map<base::team_id, std::uint64_t> admitted;
    };

    void refill(base::time_point now);

    std::unordered_map<base::team_id, bucket> m_buckets;
    std::map<std::string, reporter> m_reporters;
    base::time_point m_updated_at;
    double m_heard_part = 1;
};

/// @brief What a request counts in a quota.
/// @param prompt_and_answer_tokens The sum that the request names; empty when it names none.
[[nodiscard]] std::uint64_t units_of(const quota& limit,
                                     std::optional<std::uint64_t> prompt_and_answer_tokens);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_FLEET_QUOTA_HPP
