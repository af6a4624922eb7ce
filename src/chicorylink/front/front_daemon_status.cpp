#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/front_daemon.hpp"
#include "chicorylink/front/item_copy.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>

#include <fmt/format.h>

// The daemon's answers to the platform's checks, to callers that ask where to connect, and to VMs
// and operators on the control address.

namespace chicorylink::front {
namespace {

/// A VM that has just started sends no caller to another region before it has had time to hear the
/// VMs of the caller's own.
constexpr base::milliseconds acquaintance_time{2500};

} // namespace

status_answer front_daemon::answer_ready(const message_head& head) const
{
    const auto state = readiness_of(m_core, base::boot_now());
    if (head.target.substr(0, head.target.find('?')) != m_core.protocol.ready_path) {
        return {not_found_status, "text/plain", "not found\n"};
    }
    return {state == readiness::ready ? 200 : unavailable_status, "text/plain",
            fmt::format("{}\n", to_string(state))};
}

std::vector<std::string> front_daemon::addresses_for(const directory_question& question) const
{
    const auto now = base::boot_now();
    auto addresses = callers_addresses(question.region, now);
    if (!addresses.empty() || now - m_started_at < acquaintance_time) {
        return addresses;
    }
    // While the region's VMs restart one after the other, callers keep the addresses that they
    // have, and reach them again sooner than VMs of another region would help them.
    const auto& members = m_core.members.members();
    const bool restarting = std::any_of(members.begin(), members.end(), [&](const auto& entry) {
        const auto& who = entry.second;
        return who.region == question.region && who.state == fleet::member_state::leaving &&
               fleet::roster::is_heard(who, now);
    });
    return restarting ? std::vector<std::string>{} : callers_addresses({}, now);
}

std::vector<std::string> front_daemon::callers_addresses(const fleet::region_name& region,
                                                         base::time_point now) const
{
    const auto fits = [&](const fleet::region_name& where) {
        return region.empty() || where == region;
    };
    const auto& own = m_core.settings.callers_address;
    const auto port = own.substr(own.rfind(':'));
    std::vector<std::string> addresses;
    if (fits(m_core.settings.self.region) && readiness_of(m_core, now) == readiness::ready) {
        addresses.push_back(own);
    }
    for (const auto& [ip, who] : m_core.members.members()) {
        if (fits(who.region) && fleet::roster::takes_requests(who, now)) {
            addresses.push_back(ip + port);
        }
    }
    return addresses;
}

status_answer front_daemon::answer_directory(const message_head& head)
{
    const auto question = m_core.protocol.read_directory_question(head.target);
    if (!question) {
        return {not_found_status, "text/plain", "not found\n"};
    }
    const auto addresses = addresses_for(*question);
    if (addresses.empty()) {
        m_core.counters.add("directory_empty_total");
        return {unavailable_status, "text/plain", "no VM is ready\n"};
    }
    return {200, "application/json",
            m_core.protocol.directory_answer(addresses, directory_lifetime)};
}

status_answer front_daemon::answer_control(const message_head& head) const
{
    if (head.target == "/metrics") {
        return {200, "text/plain", m_core.counters.render()};
    }
    if (const auto after = read_item_copy_target(head.target)) {
        item_copy copy{m_core.state.items_after(*after), *after, m_core.state.as_of(), {}};
        if (const auto confirmed = m_core.state.confirmed_at()) {
            copy.confirmed_age =
                std::chrono::duration_cast<base::milliseconds>(base::boot_now() - *confirmed);
        }
        return {200, "application/msgpack", encode(copy)};
    }
    return {not_found_status, "text/plain", "not found\n"};
}

} // namespace chicorylink::front
