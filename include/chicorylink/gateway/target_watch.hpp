#ifndef CHICORYLINK_GATEWAY_TARGET_WATCH_HPP
#define CHICORYLINK_GATEWAY_TARGET_WATCH_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/target_table.hpp"

#include <map>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

class http_fetcher;
struct fetch_result;
struct services;

/// @brief Tracks which targets of this region are leaving and how loaded they are, reports it to
/// the region's VMs and updates the router. Only `rows` may be called outside the control loop.
class target_watch {
public:
    explicit target_watch(services& deps);

    /// @brief Sets the targets from a version of the rules.
    void on_rules(const rules::rulebook& book);

    /// @brief Queries the platform for live and leaving targets.
    void poll_list(http_fetcher& fetcher);

    /// @brief Queries the load of the targets assigned to this VM.
    void poll_loads(http_fetcher& fetcher);

    /// @brief Sends due reports to the region's VMs.
    void send_reports();

    /// @brief Handles reports from another VM.
    void on_message(std::span<const std::uint8_t> bytes);

    /// @brief One row per target of this region, for operators. Thread-safe.
    [[nodiscard]] nlohmann::ordered_json rows() const;

private:
    void on_load_response(base::target_id target, const fetch_result& response);
    void update_router();
    [[nodiscard]] std::vector<base::vm_id> region_peers() const;

    services& m_deps;
    bool m_list_pending = false;
    std::set<base::target_id> m_pending_loads;
    mutable std::mutex m_mutex;
    membership::target_table m_table;
    /// Time of the newest report of each target that was passed to the router.
    std::map<base::target_id, base::time_point> m_router_report_times;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_TARGET_WATCH_HPP
