#include "chicorylink/gateway/team_stats.hpp"

#include <algorithm>

namespace chicorylink::gateway {

void team_stats::add_answered(base::team_id team, base::nanoseconds time, base::tokens spent)
{
    change(team, [&](team_row& row) {
        ++row.answered;
        row.spent += spent;
        row.total_time += time;
        row.longest_time = std::max(row.longest_time, time);
    });
}

void team_stats::add_refused(base::team_id team, bool by_rate)
{
    change(team, [&](team_row& row) {
        row.refused_by_rate += by_rate ? 1 : 0;
        row.refused_otherwise += by_rate ? 0 : 1;
    });
}

void team_stats::add_broken(base::team_id team, base::tokens spent)
{
    change(team, [&](team_row& row) {
        ++row.broken;
        row.spent += spent;
    });
}

std::vector<team_row> team_stats::rows() const
{
    std::vector<team_row> all_rows;
    for (const auto& part : m_shards) {
        const std::lock_guard lock(part.mutex);
        for (const auto& [team, row] : part.rows) {
            all_rows.push_back(row);
        }
    }
    return all_rows;
}

} // namespace chicorylink::gateway
