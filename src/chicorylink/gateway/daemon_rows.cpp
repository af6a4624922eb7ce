#include "chicorylink/gateway/budget_gate.hpp"
#include "chicorylink/gateway/daemon_core.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>
#include <csignal>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

std::string_view state_name(membership::member_state state)
{
    switch (state) {
    case membership::member_state::live:
        return "live";
    case membership::member_state::leaving:
        return "leaving";
    case membership::member_state::suspect:
        return "suspect";
    case membership::member_state::gone:
        return "gone";
    }
    return "unknown";
}

double to_milliseconds(base::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

operators_sources daemon_core::make_sources()
{
    operators_sources sources;
    sources.status = [this] { return status(); };
    sources.vms = [this] { return vm_rows(); };
    sources.targets = [this] { return m_targets->rows(); };
    sources.teams = [this] { return team_rows(); };
    sources.audit = [this] { return m_audit.rows(); };
    sources.metrics = [this] {
        m_metrics.set("chicorylink_requests_in_progress", static_cast<double>(m_requests.size()));
        m_metrics.set("chicorylink_requests_queued", static_cast<double>(m_router->queued()));
        m_metrics.set("chicorylink_requests_waiting_for_budget",
                      static_cast<double>(m_budget->waiting()));
        return m_metrics.render();
    };
    sources.ready = [this] { return is_ready(); };
    sources.drain = [] { kill(getpid(), SIGTERM); };
    return sources;
}

bool daemon_core::is_ready() const
{
    const auto view = m_cluster->view();
    const bool has_peers =
        std::any_of(view->members.begin(), view->members.end(), [&](const auto& vm) {
            return vm.region == m_services.region && vm.id != m_services.self &&
                   membership::takes_work(vm);
        });
    return m_started && m_rules->ready() && m_services.rulebook() != nullptr &&
           !m_services.leaving && view->member_until > m_services.now() &&
           (m_budget->owned_slots() > 0 || has_peers);
}

nlohmann::ordered_json daemon_core::status() const
{
    const auto book = m_services.rulebook();
    const auto view = m_cluster->view();
    nlohmann::ordered_json row{
        {"vm", m_config.vm},
        {"region", m_config.region},
        {"data_center", m_config.data_center},
        {"process", m_services.process.load().value()},
        {"ready", is_ready()},
        {"leaving", m_services.leaving.load()},
        {"rules_version", book ? book->version().value() : 0},
        {"vm_list_is_fresh", view->list_is_fresh},
        {"requests", m_requests.size()},
        {"queued", m_router->queued()},
        {"budget_slots", m_budget->owned_slots()},
        {"waiting_for_budget", m_budget->waiting()},
    };
    if (m_started) {
        row["config"] = m_rules->status();
    }
    return row;
}

nlohmann::ordered_json daemon_core::vm_rows() const
{
    auto rows = nlohmann::ordered_json::array();
    const auto book = m_services.rulebook();
    for (const auto& vm : m_cluster->view()->members) {
        const auto* region = book ? book->find(vm.region) : nullptr;
        rows.push_back({{"vm", vm.name},
                        {"region", region != nullptr ? region->name : ""},
                        {"state", state_name(vm.state)},
                        {"callers", vm.caller_address},
                        {"peers", vm.peer_address},
                        {"link", vm.id == m_services.self         ? "self"
                                 : m_network->is_connected(vm.id) ? "up"
                                                                  : "down"}});
    }
    return rows;
}

nlohmann::ordered_json daemon_core::team_rows() const
{
    auto active = m_teams.rows();
    std::sort(active.begin(), active.end(),
              [](const team_row& a, const team_row& b) { return a.spent > b.spent; });
    auto rows = nlohmann::ordered_json::array();
    const auto book = m_services.rulebook();
    for (const auto& row : active) {
        const auto* team = book ? book->find(row.team) : nullptr;
        const auto mean = row.answered == 0
                              ? 0.0
                              : to_milliseconds(row.total_time) / static_cast<double>(row.answered);
        rows.push_back({{"team", team != nullptr ? team->name : "(removed)"},
                        {"answered", row.answered},
                        {"refused_rate", row.refused_by_rate},
                        {"refused_other", row.refused_otherwise},
                        {"broken", row.broken},
                        {"tokens", row.spent.value()},
                        {"mean_ms", mean},
                        {"longest_ms", to_milliseconds(row.longest_time)},
                        {"tokens_here", m_budget->spendable(row.team).value()}});
    }
    return rows;
}

} // namespace chicorylink::gateway
