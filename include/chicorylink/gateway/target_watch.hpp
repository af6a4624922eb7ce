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

class platform_poller;
struct fetched;
struct services;

/// @brief Learns which targets of this region leave and how loaded they are, shares it with the
/// region's VMs and tells the router. Used on the control loop only, but for `rows`.
class target_watch {
public:
    explicit target_watch(services& all);

    /// @brief Takes over the targets of a version of the rules.
    void on_rules(const rules::rulebook& book);

    /// @brief Asks the platform which targets are live or leaving.
    void poll_list(platform_poller& platform);

    /// @brief Asks the targets that are this VM's part for their load.
    void poll_loads(platform_poller& platform);

    /// @brief Sends reports to the region's VMs when they are due.
    void share();

    /// @brief Reports came from another VM.
    void on_message(std::span<const std::uint8_t> bytes);

    /// @brief One row a target of this region, for operators. Thread-safe.
    [[nodiscard]] nlohmann::ordered_json rows() const;

private:
    void take_answer(base::target_id target, const fetched& answer);
    void tell_router();
    [[nodiscard]] std::vector<base::vm_id> region_peers() const;

    services& m_all;
    bool m_list_pending = false;
    std::set<base::target_id> m_pending;
    mutable std::mutex m_mutex;
    membership::target_table m_table;
    /// The newest report of each target that the router was told.
    std::map<base::target_id, base::time_point> m_told;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_TARGET_WATCH_HPP
