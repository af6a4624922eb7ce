#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/fleet/directory_choice.hpp"
#include "chicorylink/front/front_daemon.hpp"
#include "chicorylink/front/item_copy.hpp"
#include "chicorylink/front/status_codes.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>

// The daemon's responses to the platform's readiness checks, to directory queries of callers, and
// to VMs and operators on the control address.

namespace chicorylink::front {
status_response front_daemon::respond_ready(const message_head& head) const
{
    const auto state = readiness_of(m_core, base::boot_now());
    if (head.target.substr(0, head.target.find('?')) != m_core.protocol.ready_path) {
        return {not_found_status, "text/plain", "not found\n"};
    }
    return {state == readiness::ready ? 200 : unavailable_status, "text/plain",
            fmt::format("{}\n", to_string(state))};
}

fleet::directory_view front_daemon::view_for_callers(base::time_point now) const
{
    const auto& own = m_core.settings.callers_address;
    const auto port = own.substr(own.rfind(':'));
    fleet::directory_view view{{}, m_started_at};
    view.vms.push_back(
        {own, m_core.settings.self.region, readiness_of(m_core, now) == readiness::ready, false});
    for (const auto& [ip, member] : m_core.members.members()) {
        const bool leaving = member.state == fleet::member_state::leaving;
        view.vms.push_back({ip + port, member.region, fleet::roster::takes_requests(member, now),
                            leaving && fleet::roster::is_live(member, now)});
    }
    return view;
}

void front_daemon::log_redirect(const directory_query& query, const std::string& named)
{
    const auto known = region_names(m_core.settings);
    const auto& config = m_core.state.config();
    // Callers choose both names, and only what is known may take memory and log lines.
    if (!known.contains(query.region) || !config || !config->has_host(query.host)) {
        return;
    }
    const auto redirected = named == query.region.text() ? std::string{} : named;
    auto& logged = m_redirects[{query.region, query.host}];
    if (std::exchange(logged, redirected) != redirected) {
        write_log(m_core, log_event(m_core, "directory_redirected")
                              .add("callers_region", query.region.text())
                              .add("host", query.host)
                              .add("named", redirected));
    }
}

status_response front_daemon::respond_directory(const message_head& head)
{
    const auto query = m_core.protocol.read_directory_query(head.target);
    if (!query) {
        return {not_found_status, "text/plain", "not found\n"};
    }
    const auto now = base::boot_now();
    const auto& config = m_core.state.config();
    const auto vms = fleet::choose_vms(
        view_for_callers(now), query->region,
        config ? fleet::restrictions_of(*config, query->host) : fleet::region_restrictions{}, now);
    log_redirect(*query, fleet::regions_of(vms));
    if (vms.empty()) {
        m_core.counters.add("directory_empty_total");
        return {unavailable_status, "text/plain", "no VM is ready\n"};
    }
    std::vector<std::string> addresses;
    std::transform(vms.begin(), vms.end(), std::back_inserter(addresses),
                   [](const auto& vm) { return vm.address; });
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
