#ifndef CHICORYLINK_GATEWAY_TARGET_WATCH_HPP
#define CHICORYLINK_GATEWAY_TARGET_WATCH_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/platform/load_report.hpp"
#include "chicorylink/platform/target_list.hpp"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {

class platform_poller;
struct services;

/// @brief Learns which targets leave and how loaded they are, and tells the router. Used on the
/// control loop only, but for `rows`.
class target_watch {
public:
    explicit target_watch(services& all) : m_all(all) {}

    /// @brief Asks the platform which targets are live or leaving.
    void poll_list(platform_poller& platform);

    /// @brief Asks the targets of this region for their load.
    void poll_loads(platform_poller& platform);

    /// @brief One row a target of the rules, for operators. Thread-safe.
    [[nodiscard]] nlohmann::ordered_json rows() const;

private:
    void take_list(const platform::target_list& list);
    void take_report(base::target_id target, const platform::load_report& report);
    void set_leaving(base::target_id target, bool leaving);

    struct known_target {
        bool leaving_by_list = false;
        bool leaving_by_report = false;
        platform::load_report report;
        base::time_point reported_at{};
    };

    services& m_all;
    bool m_list_pending = false;
    std::set<base::target_id> m_pending;
    mutable std::mutex m_mutex;
    std::map<base::target_id, known_target> m_known;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_TARGET_WATCH_HPP
