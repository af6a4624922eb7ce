#ifndef CHICORYLINK_GATEWAY_DAEMON_CORE_HPP
#define CHICORYLINK_GATEWAY_DAEMON_CORE_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/gateway/audit_trail.hpp"
#include "chicorylink/gateway/cluster.hpp"
#include "chicorylink/gateway/config_driver.hpp"
#include "chicorylink/gateway/control_loop.hpp"
#include "chicorylink/gateway/http_fetcher.hpp"
#include "chicorylink/gateway/http_server.hpp"
#include "chicorylink/gateway/operators_api.hpp"
#include "chicorylink/gateway/request_table.hpp"
#include "chicorylink/gateway/retry_scheduler.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/target_watch.hpp"
#include "chicorylink/gateway/team_stats.hpp"
#include "chicorylink/platform/http_client.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace chicorylink::gateway {

class budget_gate;

/// @brief Owns and connects the components of one daemon. Members are destroyed in reverse order,
/// so threads end before the objects that they use.
class daemon_core {
public:
    explicit daemon_core(const settings& config);
    ~daemon_core();
    daemon_core(const daemon_core&) = delete;
    daemon_core& operator=(const daemon_core&) = delete;
    daemon_core(daemon_core&&) = delete;
    daemon_core& operator=(daemon_core&&) = delete;

    [[nodiscard]] base::result<void> start();
    [[nodiscard]] std::string addresses() const;
    void reload_tls();
    void stop();

private:
    [[nodiscard]] base::result<void> start_network();
    [[nodiscard]] base::result<void> start_callers();
    [[nodiscard]] base::result<void> start_operators();
    void start_loop();
    void on_control(base::vm_id from, wire::channel_id channel,
                    std::span<const std::uint8_t> bytes);
    void on_rules(const std::shared_ptr<const rules::rulebook>& book);
    void on_renewed();
    void on_caller_disconnected(const exchange& request);
    void send_region_summary();
    void wait_for_requests();
    void wait_for_budget();

    [[nodiscard]] operators_sources make_sources();
    [[nodiscard]] nlohmann::ordered_json status() const;
    [[nodiscard]] nlohmann::ordered_json vm_rows() const;
    [[nodiscard]] nlohmann::ordered_json team_rows() const;
    [[nodiscard]] bool is_ready() const;

    /// Set once all components exist; requests and control messages that arrive earlier are
    /// rejected.
    std::atomic<bool> m_started{false};
    settings m_config;
    base::metrics m_metrics;
    audit_trail m_audit;
    services m_services;
    request_table m_requests;
    retry_scheduler m_retries;
    team_stats m_teams;
    std::unique_ptr<routing::router> m_router;
    std::unique_ptr<budget_gate> m_budget;
    std::unique_ptr<ticket_manager> m_tickets;
    control_loop m_loop;
    std::unique_ptr<cluster> m_cluster;
    std::unique_ptr<config_driver> m_rules;
    std::unique_ptr<target_watch> m_targets;
    std::unique_ptr<http_fetcher> m_fetcher;
    std::unique_ptr<wire::peer_network> m_network;
    std::unique_ptr<platform::http_client> m_platform_http;
    std::unique_ptr<platform::http_client> m_target_http;
    std::unique_ptr<http_server> m_callers;
    std::unique_ptr<http_server> m_operators;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_DAEMON_CORE_HPP
