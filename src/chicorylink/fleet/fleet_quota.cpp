#include "chicorylink/fleet/fleet_quota.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chicorylink::fleet {
namespace {

/// Shortest wait given to a refused team; a shorter one would only cost another refusal.
constexpr base::milliseconds min_wait{100};

/// A region's totals are taken from one delegate until it has been silent for the time of three
/// digests.
constexpr base::milliseconds reporter_timeout{1500};

/// Delegates that have been silent for longer are removed.
constexpr base::milliseconds remove_reporter_after{60'000};

double seconds_between(base::time_point from, base::time_point to)
{
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

base::team_id id_of_team(const team& configured_team)
{
    return base::id_of<base::team_id>(configured_team.name.text());
}

/// Time over which the parts of the VMs in a team's use are averaged.
constexpr double recent_seconds = 5;

/// Longest time for which a VM leaves a team's balance to the others after one request.
constexpr base::milliseconds max_pause{10'000};

/// A team that sends only urgent requests has its whole burst for them: nothing is kept for other
/// requests when this VM has got none for this time.
constexpr base::milliseconds share_unwanted_after{5000};

/// Sets the id of a team's share apart from the ids of teams.
constexpr std::uint64_t share_salt = 0x7368'6172'6500'0001;

base::team_id share_id_of(const team& configured_team)
{
    return base::team_id{base::hash_pair(id_of_team(configured_team).value(), share_salt)};
}

quota share_limit(const quota& limit)
{
    return {scheduling::share_rate(limit.per_second),
            scheduling::share_capacity(limit.per_second, limit.burst), limit.in_tokens, 0};
}

std::uint64_t whole_units(const scheduling::quota_demand& demand)
{
    return static_cast<std::uint64_t>(demand.units);
}

} // namespace

void fleet_quota::refill(base::time_point now)
{
    const double elapsed = seconds_between(m_updated_at, now);
    m_updated_at = std::max(m_updated_at, now);
    const double kept = std::exp(-elapsed / recent_seconds);
    for (auto& [id, entry] : m_buckets) {
        const double limit = entry.limit.burst * m_live_fraction;
        const double refilled = entry.limit.per_second * m_live_fraction * elapsed;
        entry.balance = std::min(limit, entry.balance + refilled);
        entry.own_recent *= kept;
        entry.others_recent *= kept;
    }
}

void fleet_quota::set_teams(const std::vector<team>& teams, base::time_point now)
{
    refill(now);
    std::unordered_map<base::team_id, bucket> next;
    for (const auto& configured_team : teams) {
        const auto& limit = configured_team.limit;
        const auto id = id_of_team(configured_team);
        next.emplace(id, make_bucket(id, limit));
        if (limit.per_second > 0) {
            const auto share_id = share_id_of(configured_team);
            next.emplace(share_id, make_bucket(share_id, share_limit(limit)));
        }
    }
    m_buckets = std::move(next);
}

fleet_quota::bucket fleet_quota::make_bucket(base::team_id id, const quota& limit) const
{
    const auto known = m_buckets.find(id);
    bucket entry;
    entry.limit = limit;
    entry.balance = limit.burst;
    if (known != m_buckets.end()) {
        entry = known->second;
        entry.limit = limit;
        entry.balance = std::min(entry.balance, limit.burst);
    }
    return entry;
}

void fleet_quota::set_fleet(std::size_t known, std::size_t live, base::time_point now)
{
    refill(now);
    m_live_vms = std::max<std::size_t>(1, live);
    m_live_fraction = known == 0 ? 1.0 : static_cast<double>(live) / static_cast<double>(known);
}

double fleet_quota::own_admitted(base::team_id team) const
{
    const auto entry = m_buckets.find(team);
    return entry == m_buckets.end() ? 0 : static_cast<double>(entry->second.admitted);
}

void fleet_quota::drain(base::team_id team, regional_total& total)
{
    const double newest = std::max(total.from_members, total.from_digests);
    const auto entry = m_buckets.find(team);
    if (entry != m_buckets.end() && newest > total.drained) {
        entry->second.balance -= newest - total.drained;
        entry->second.others_recent += newest - total.drained;
    }
    total.drained = std::max(total.drained, newest);
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
        auto& previous = from.totals[team];
        const auto reported = static_cast<double>(admitted);
        // What a process admitted before its first report here is in the past and doesn't count.
        if (!is_first && reported > previous) {
            auto& total = region.totals[team];
            total.from_members += reported - previous;
            drain(team, total);
        }
        previous = std::max(previous, reported);
    }
}

void fleet_quota::on_region_usage(const region_digest& digest, base::time_point now)
{
    refill(now);
    auto& region = m_regions[digest.region];
    auto [known, is_first] = region.delegates.try_emplace(digest.reporter);
    auto& from = known->second;
    const auto active = region.delegates.find(region.active_delegate);
    if (active == region.delegates.end() || now - active->second.reported_at > reporter_timeout) {
        region.active_delegate = digest.reporter;
    }
    const bool is_own_region = digest.region == m_region;
    for (const auto& [team, admitted] : digest.usage) {
        // The total of this VM's region includes what this VM admitted itself.
        const double own = is_own_region ? own_admitted(team) : 0;
        const double reported = static_cast<double>(admitted) - own;
        const double previous = std::exchange(from.totals[team], reported);
        if (!is_first && region.active_delegate == digest.reporter) {
            auto& total = region.totals[team];
            total.from_digests += reported - previous;
            drain(team, total);
        }
    }
    from.reported_at = now;
    std::erase_if(region.delegates, [&](const auto& entry) {
        return now - entry.second.reported_at > remove_reporter_after;
    });
}

fleet_quota::bucket* fleet_quota::limited_bucket(const team& caller_team)
{
    const auto entry = m_buckets.find(id_of_team(caller_team));
    return entry == m_buckets.end() || entry->second.limit.per_second <= 0 ? nullptr
                                                                           : &entry->second;
}

scheduling::quota_state fleet_quota::state_of(const team& caller_team, const bucket& entry) const
{
    const auto share = m_buckets.find(share_id_of(caller_team));
    scheduling::quota_state state{entry.balance, 0, entry.limit.burst * m_live_fraction,
                                  entry.limit.per_second * m_live_fraction};
    if (share != m_buckets.end()) {
        const bool is_wanted =
            entry.share_wanted_at && m_updated_at - *entry.share_wanted_at < share_unwanted_after;
        state.opens_in = seconds_between(m_updated_at, entry.opens_at);
        state.share = is_wanted ? share->second.balance : std::min(0.0, share->second.balance);
    }
    return state;
}

std::optional<scheduling::quota_state> fleet_quota::state_of(const team& caller_team,
                                                             base::time_point now)
{
    refill(now);
    const auto* entry = limited_bucket(caller_team);
    return entry == nullptr ? std::nullopt : std::optional{state_of(caller_team, *entry)};
}

bool fleet_quota::has_room(const team& caller_team, base::time_point now,
                           const scheduling::quota_demand& demand)
{
    refill(now);
    auto* entry = limited_bucket(caller_team);
    if (entry == nullptr) {
        return true;
    }
    if (!scheduling::is_preferred(demand, entry->limit.burst * m_live_fraction)) {
        entry->share_wanted_at = now;
    }
    const auto units = whole_units(demand);
    const bool is_covered = units > 0 && entry->credit.available(now) >= units;
    return is_covered || scheduling::choose_quota_path(state_of(caller_team, *entry), demand) !=
                             scheduling::quota_path::none;
}

quota_charge fleet_quota::hold_credit(const team& caller_team,
                                      const scheduling::quota_demand& demand, base::time_point now)
{
    auto* entry = limited_bucket(caller_team);
    return entry == nullptr ? quota_charge{} : entry->credit.take(whole_units(demand), now);
}

void fleet_quota::charge_share(const team& caller_team, bucket& entry, scheduling::quota_path path,
                               double rate, const quota_charge& charged)
{
    const auto units = charged.from_balance;
    const auto share = m_buckets.find(share_id_of(caller_team));
    // Between the decision and the charge, another request may have taken what was left. The share
    // then pays, so that it owes what less urgent requests overdrew.
    if (path != scheduling::quota_path::balance && share != m_buckets.end()) {
        path = scheduling::quota_path::share;
        share->second.balance -= static_cast<double>(units);
        share->second.admitted += units;
    }
    const std::chrono::duration<double> pause{
        scheduling::pause_after(path, static_cast<double>(units), rate, own_fraction(entry))};
    entry.opens_at =
        charged.charged_at + std::min(max_pause, std::chrono::ceil<base::milliseconds>(pause));
}

double fleet_quota::own_fraction(const bucket& entry) const
{
    const double all = entry.own_recent + entry.others_recent;
    return std::max(all > 0 ? entry.own_recent / all : 1.0, 1.0 / static_cast<double>(m_live_vms));
}

quota_charge fleet_quota::charge(const team& caller_team, const scheduling::quota_demand& demand,
                                 const quota_charge& held, base::time_point now)
{
    refill(now);
    auto* entry = limited_bucket(caller_team);
    auto charged = held;
    if (entry == nullptr) {
        return charged;
    }
    const auto units = whole_units(demand);
    charged.from_balance = units - std::min(units, held.from_credit);
    charged.charged_at = now;
    const auto state = state_of(caller_team, *entry);
    if (!scheduling::is_preferred(demand, state.burst)) {
        const auto path = scheduling::choose_quota_path(state, demand);
        charge_share(caller_team, *entry, path, state.per_second, charged);
    }
    entry->balance -= static_cast<double>(charged.from_balance);
    entry->admitted += charged.from_balance;
    entry->own_recent += static_cast<double>(charged.from_balance);
    return charged;
}

void fleet_quota::charge(const team& caller_team, std::uint64_t units, base::time_point now)
{
    (void)charge(caller_team, {static_cast<double>(units), 0}, {}, now);
}

std::uint64_t fleet_quota::refund(const team& caller_team, const quota_charge& charge,
                                  base::time_point now)
{
    auto* entry = limited_bucket(caller_team);
    return entry == nullptr ? 0 : entry->credit.refund(charge, now);
}

base::milliseconds fleet_quota::time_until_room(const team& caller_team, base::time_point now,
                                                const scheduling::quota_demand& demand)
{
    const auto state = state_of(caller_team, now);
    return state ? std::max(min_wait, scheduling::time_until_admitted(*state, demand)) : min_wait;
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
        const auto total = region->second.totals.find(team);
        if (total != region->second.totals.end()) {
            admitted += static_cast<std::uint64_t>(total->second.from_members);
        }
    }
    return usage;
}

std::uint64_t units_of(const quota& limit, std::optional<std::uint64_t> prompt_and_answer_tokens)
{
    if (!limit.in_tokens) {
        return 1;
    }
    return prompt_and_answer_tokens.value_or(limit.default_request_tokens);
}

} // namespace chicorylink::fleet
