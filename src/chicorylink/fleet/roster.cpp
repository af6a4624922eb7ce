#include "chicorylink/fleet/roster.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chicorylink::fleet {
namespace {

/// Weight of the newest round trip in the smoothed one.
constexpr double newest_weight = 0.2;

void note_round_trip(member& known, const heartbeat& message, base::time_point now)
{
    if (message.echo_ms == 0) {
        return;
    }
    const auto now_ms =
        std::chrono::duration_cast<base::milliseconds>(now.time_since_epoch()).count();
    const auto gone = now_ms - static_cast<std::int64_t>(message.echo_ms);
    const auto measured =
        static_cast<double>(std::max<std::int64_t>(0, gone - message.echo_held.count()));
    const double before =
        known.round_trip ? static_cast<double>(known.round_trip->count()) : measured;
    known.round_trip =
        base::milliseconds{static_cast<std::int64_t>(before + newest_weight * (measured - before))};
}

} // namespace

roster::roster(member_identity self, std::vector<std::string> seed_ips)
    : m_self(std::move(self)), m_seeds(std::move(seed_ips))
{
}

void roster::set_seeds(std::vector<std::string> seed_ips)
{
    m_seeds = std::move(seed_ips);
}

heartbeat_effect roster::on_heartbeat(const heartbeat& message, base::time_point now)
{
    const auto& ip = message.from.ip;
    if (ip == m_self.ip) {
        return heartbeat_effect::ignored;
    }
    const auto replaced = m_replaced.find(ip);
    if (replaced != m_replaced.end() && replaced->second == message.from.run) {
        return heartbeat_effect::ignored;
    }
    auto effect = heartbeat_effect::refreshed;
    auto [entry, is_new] = m_members.try_emplace(ip);
    auto& known = entry->second;
    if (is_new) {
        effect = heartbeat_effect::joined;
    }
    else if (known.who.run != message.from.run) {
        m_replaced[ip] = known.who.run;
        known = member{};
        effect = heartbeat_effect::restarted;
    }
    else if (message.sequence <= known.sequence) {
        return heartbeat_effect::ignored;
    }
    else if (known.state != message.state) {
        effect = heartbeat_effect::state_changed;
    }
    known.who = message.from;
    known.state = message.state;
    known.version = message.version;
    known.confirmed_age = message.confirmed_age;
    known.heard_at = now;
    known.sequence = message.sequence;
    known.sent_ms = message.sent_ms;
    known.outlook = message.outlook;
    m_hearsay.erase(ip);
    known.silence_told = false;
    note_round_trip(known, message, now);
    for (const auto& other : message.known) {
        if (other != m_self.ip && !m_members.contains(other)) {
            m_hearsay[other] = now;
        }
    }
    return effect;
}

base::milliseconds roster::interval_to(const std::string& ip, base::time_point now) const
{
    const auto known = m_members.find(ip);
    if (known == m_members.end()) {
        return near_interval;
    }
    if (!is_heard(known->second, now)) {
        return silent_interval;
    }
    return known->second.who.region == m_self.region ? near_interval : far_interval;
}

std::vector<std::string> roster::take_due(base::time_point now)
{
    std::set<std::string> candidates(m_seeds.begin(), m_seeds.end());
    for (const auto& [ip, entry] : m_members) {
        candidates.insert(ip);
    }
    for (const auto& [ip, named_at] : m_hearsay) {
        candidates.insert(ip);
    }
    candidates.erase(m_self.ip);
    std::vector<std::string> due;
    for (const auto& ip : candidates) {
        const auto sent = m_sent_at.find(ip);
        if (sent == m_sent_at.end() || now - sent->second >= interval_to(ip, now)) {
            m_sent_at[ip] = now;
            due.push_back(ip);
        }
    }
    return due;
}

std::vector<vm_name> roster::tick(base::time_point now)
{
    std::vector<vm_name> fell_silent;
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        auto& who = entry->second;
        if (!is_heard(who, now) && !who.silence_told) {
            who.silence_told = true;
            fell_silent.push_back(who.who.name);
        }
        if (now - who.heard_at > memory) {
            m_sent_at.erase(entry->first);
            entry = m_members.erase(entry);
        }
        else {
            ++entry;
        }
    }
    std::erase_if(m_hearsay, [&](const auto& entry) { return now - entry.second > memory; });
    return fell_silent;
}

const member* roster::find(const std::string& ip) const
{
    const auto found = m_members.find(ip);
    return found == m_members.end() ? nullptr : &found->second;
}

bool roster::is_heard(const member& who, base::time_point now)
{
    return now - who.heard_at <= silence_bound;
}

bool roster::takes_requests(const member& who, base::time_point now)
{
    return who.state == member_state::ready && is_heard(who, now);
}

std::size_t roster::live_in_region(const region_name& region, base::time_point now) const
{
    std::size_t count = m_self.region == region ? 1 : 0;
    for (const auto& [ip, who] : m_members) {
        if (who.who.region == region && is_heard(who, now) && who.state != member_state::leaving) {
            ++count;
        }
    }
    return count;
}

roster::fleet_size roster::size(base::time_point now) const
{
    fleet_size count;
    for (const auto& [ip, who] : m_members) {
        const bool heard = is_heard(who, now);
        if (heard) {
            ++count.heard;
        }
        if (heard || who.state != member_state::leaving) {
            ++count.known;
        }
    }
    return count;
}

std::vector<std::string> roster::heard_ips(base::time_point now) const
{
    std::vector<std::string> ips;
    for (const auto& [ip, who] : m_members) {
        if (is_heard(who, now)) {
            ips.push_back(ip);
        }
    }
    return ips;
}

} // namespace chicorylink::fleet
