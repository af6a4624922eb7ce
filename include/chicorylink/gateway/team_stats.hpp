#ifndef CHICORYLINK_GATEWAY_TEAM_STATS_HPP
#define CHICORYLINK_GATEWAY_TEAM_STATS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace chicorylink::gateway {

/// @brief Request statistics of one team on this VM since its start.
struct team_row {
    base::team_id team;
    std::uint64_t answered = 0;
    /// Refused because the team's rate and burst were used up.
    std::uint64_t refused_by_rate = 0;
    std::uint64_t refused_otherwise = 0;
    std::uint64_t broken = 0;
    base::tokens spent;
    base::nanoseconds total_time{0};
    base::nanoseconds longest_time{0};
};

/// @brief Statistics by team, sharded by team with one lock per shard. Only teams that were active
/// on this VM use memory.
class team_stats {
public:
    void add_answered(base::team_id team, base::nanoseconds time, base::tokens spent);
    void add_refused(base::team_id team, bool by_rate);
    void add_broken(base::team_id team, base::tokens spent);

    /// @brief All teams that were active on this VM, in unspecified order.
    [[nodiscard]] std::vector<team_row> rows() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<base::team_id, team_row> rows;
    };

    /// Changes one team's row under its lock.
    template <class Change>
    void change(base::team_id team, Change apply)
    {
        auto& part = m_shards.at(team.value() % shard_count);
        const std::lock_guard lock(part.mutex);
        auto& row = part.rows[team];
        row.team = team;
        apply(row);
    }

    std::array<shard, shard_count> m_shards;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_TEAM_STATS_HPP
