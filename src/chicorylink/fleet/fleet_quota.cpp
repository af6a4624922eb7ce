#include "chicorylink/fleet/fleet_quota.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorylink::fleet {
namespace {

/// The shortest wait that a refused team is told; shorter ones only cost another refusal.
constexpr base::milliseconds shortest_wait{100};

/// A region's sums are taken from one delegate until it has been silent for so long: three digests.
constexpr base::milliseconds reporter_bound{1500};

/// Delegates that have been silent for longer are forgotten.
constexpr base::milliseconds forget_reporter_after{60'000};

double seconds_between(base::time_point from, base::time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

base::team_id id_of_team(const team& who)
{
    return base::id_of<base::team_id>(who.name.text());
}

} // namespace

void fleet_quota::refill(base::time_point now)
{
    const double elapsed = seconds_between(m_updated_at, now);
    m_updated_at = std::max(m_updated_at, now);
    for (auto& [id, entry] : m_buckets) {
        const double limit = entry.limit.burst * m_heard_part;
        const double minted = entry.limit.per_second * m_heard_part * elapsed;
        entry.balance = std::min(limit, entry.balance + minted);
    }
}

void fleet_quota::set_teams(const std::vector<team>& teams, base::time_point now)
{
    refill(now);
    std::unordered_map<base::team_id, bucket> next;
    for (const auto& who : teams) {
        const auto id = id_of_team(who);
        const auto known = m_buckets.find(id);
        bucket entry{who.limit, who.limit.burst, 0};
        if (known != m_buckets.end()) {
            entry.admitted = known->second.admitted;
            entry.balance = std::min(known->second.balance, who.limit.burst);
        }
        next.emplace(id, entry);
    }
    m_buckets = std::move(next);
}

void fleet_quota::set_fleet(std::size_t known, std::size_t heard, base::time_point now)
{
    refill(now);
    m_heard_part = known == 0 ? 1.0 : static_cast<double>(heard) / static_cast<double>(known);
}

double fleet_quota::own_admitted(base::team_id team) const
{
    const auto entry = m_buckets.find(team);
    return entry == m_buckets.end() ? 0 : static_cast<double>(entry->second.admitted);
}

void fleet_quota::drain(base::team_id team, regional_sum& sum)
{
    const double total = std::max(sum.by_members, sum.by_digests);
    const auto entry = m_buckets.find(team);
    if (entry != m_buckets.end() && total > sum.drained) {
        entry->second.balance -= total - sum.drained;
    }
    sum.drained = std::max(sum.drained, total);
}

void fleet_quota::on_member_usage(const std::string& ip, base::incarnation run,
                                  const std::vector<team_usage>& usage, base::time_point now)
{
    refill(now);
    auto& from = m_members[ip];
    const bool is_first = from.run != run;
    if (is_first) {
        from = reporter{run, now, {}};
    }
    auto& region = m_regions[m_region];
    for (const auto& [team, admitted] : usage) {
        auto& before = from.sums[team];
        const auto told = static_cast<double>(admitted);
        // What a process admitted before it was first heard here lies in the past.
        if (!is_first && told > before) {
            auto& sum = region.sums[team];
            sum.by_members += told - before;
            drain(team, sum);
        }
        before = std::max(before, told);
    }
}

void fleet_quota::on_region_usage(const region_digest& digest, base::time_point now)
{
    refill(now);
    auto& region = m_regions[digest.region];
    auto [known, is_first] = region.delegates.try_emplace(digest.reporter);
    auto& from = known->second;
    const auto current = region.delegates.find(region.current);
    if (current == region.delegates.end() || now - current->second.told_at > reporter_bound) {
        region.current = digest.reporter;
    }
    const bool is_own = digest.region == m_region;
    for (const auto& [team, admitted] : digest.usage) {
        // The sum of the own region holds what this VM admitted itself.
        const double own = is_own ? own_admitted(team) : 0;
        const double told = static_cast<double>(admitted) - own;
        const double before = std::exchange(from.sums[team], told);
        if (!is_first && region.current == digest.reporter) {
            auto& sum = region.sums[team];
            sum.by_digests += told - before;
            drain(team, sum);
        }
    }
    from.told_at = now;
    std::erase_if(region.delegates, [&](const auto& entry) {
        return now - entry.second.told_at > forget_reporter_after;
    });
}

bool fleet_quota::has_room(const team& who, base::time_point now)
{
    refill(now);
    const auto entry = m_buckets.find(id_of_team(who));
    return entry == m_buckets.end() || entry->second.limit.per_second <= 0 ||
           entry->second.balance > 0;
}

void fleet_quota::charge(const team& who, std::uint64_t units, base::time_point now)
{
    refill(now);
    const auto entry = m_buckets.find(id_of_team(who));
    if (entry != m_buckets.end()) {
        entry->second.balance -= static_cast<double>(units);
        entry->second.admitted += units;
    }
}

base::milliseconds fleet_quota::room_in(const team& who, base::time_point now)
{
    refill(now);
    const auto entry = m_buckets.find(id_of_team(who));
    if (entry == m_buckets.end() || entry->second.balance > 0) {
        return shortest_wait;
    }
    const double rate = std::max(1.0, entry->second.limit.per_second * m_heard_part);
    const double wait_ms = std::ceil(-entry->second.balance / rate * 1000);
    return std::max(shortest_wait, base::milliseconds{static_cast<std::int64_t>(wait_ms)});
}

std::vector<team_usage> fleet_quota::own_usage() const
{
    std::vector<team_usage> usage;
    for (const auto& [id, entry] : m_buckets) {
        if (entry.limit.per_second > 0) {
            usage.push_back({id, entry.admitted});
        }
    }
    return usage;
}

std::vector<team_usage> fleet_quota::region_usage() const
{
    auto usage = own_usage();
    const auto region = m_regions.find(m_region);
    if (region == m_regions.end()) {
        return usage;
    }
    for (auto& [team, admitted] : usage) {
        const auto sum = region->second.sums.find(team);
        if (sum != region->second.sums.end()) {
            admitted += static_cast<std::uint64_t>(sum->second.by_members);
        }
    }
    return usage;
}

std::uint64_t units_of(const quota& limit, std::optional<std::uint64_t> prompt_and_answer_tokens)
{
    if (!limit.in_tokens) {
        return 1;
    }
    return prompt_and_answer_tokens.value_or(limit.tokens_of_plain_request);
}

} // namespace chicorylink::fleet
