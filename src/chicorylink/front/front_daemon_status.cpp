#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/front_daemon.hpp"
#include "chicorylink/front/item_copy.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>

#include <fmt/format.h>

// The daemon's responses to the platform's readiness checks, to directory queries of callers, and
// to VMs and operators on the control address.

namespace chicorylink::front {
namespace {

/// For this long after its start, a VM sends no caller to another region, since it may not have
/// heard from the VMs of the caller's region yet.
constexpr base::milliseconds discovery_time{2500};

} // namespace

status_response front_daemon::respond_ready(const message_head& head) const
{
    const auto state = readiness_of(m_core, base::boot_now());
    if (head.target.substr(0, head.target.find('?')) != m_core.protocol.ready_path) {
        return {not_found_status, "text/plain", "not found\n"};
    }
    return {state == readiness::ready ? 200 : unavailable_status, "text/plain",
            fmt::format("{}\n", to_string(state))};
}

std::vector<std::string> front_daemon::addresses_for(const directory_query& query) const
{
    const auto now = base::boot_now();
    auto addresses = caller_addresses(query.region, now);
    if (!addresses.empty() || now - m_started_at < discovery_time) {
        return addresses;
    }
    // During a rolling restart of the region, callers keep the addresses that they have: those VMs
    // are reachable again before VMs of another region would help.
    const auto& members = m_core.members.members();
    const bool restarting = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        const auto& member = entry.second;
        return member.region == query.region && member.state == fleet::member_state::leaving &&
               fleet::roster::is_live(member, now);
    });
    return restarting ? std::vector<std::string>{} : caller_addresses({}, now);
}

std::vector<std::string> front_daemon::caller_addresses(const fleet::region_name& region,
                                                        base::time_point now) const
{
    const auto matches = [&](const fleet::region_name& member_region) {
        return region.empty() || member_region == region;
    };
    const auto& own = m_core.settings.callers_address;
    const auto port = own.substr(own.rfind(':'));
    std::vector<std::string> addresses;
    if (matches(m_core.settings.self.region) && readiness_of(m_core, now) == readiness::ready) {
        addresses.push_back(own);
    }
    for (const auto& [ip, member] : m_core.members.members()) {
        if (matches(member.region) && fleet::roster::takes_requests(member, now)) {
            addresses.push_back(ip + port);
        }
    }
    return addresses;
}

status_response front_daemon::respond_directory(const message_head& head)
{
    const auto query = m_core.protocol.read_directory_query(head.target);
    if (!query) {
        return {not_found_status, "text/plain", "not found\n"};
    }
    const auto addresses = addresses_for(*query);
    if (addresses.empty()) {
        m_core.counters.add("directory_empty_total");
        return {unavailable_status, "text/plain", "no VM is ready\n"};
    }
    return {200, "application/json", m_core.protocol.directory_response(addresses, directory_ttl)};
}

status_response front_daemon::respond_control(const message_head& head) const
{
    if (head.target == "/metrics") {
        return {200, "text/plain", m_core.counters.render()};
    }
    if (const auto query = read_item_copy_target(head.target)) {
        return {200, "application/msgpack",
                encode(make_item_copy(m_core.state, *query, base::boot_now()))};
    }
    return {not_found_status, "text/plain", "not found\n"};
}

} // namespace chicorylink::front
