#ifndef CHICORYLINK_GATEWAY_CONFIG_DRIVER_HPP
#define CHICORYLINK_GATEWAY_CONFIG_DRIVER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/config/current.hpp"
#include "chicorylink/config/effects.hpp"
#include "chicorylink/config/store.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <span>

#include <nlohmann/json.hpp>

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

class audit_trail;
class cluster;
class http_fetcher;
struct fetch_result;
struct services;

/// @brief Performs the effects of the configuration store: calls the configuration service,
/// messages peers, applies versions and writes the audit trail. Only `current`, `ready` and
/// `status` may be called outside the control loop.
class config_driver {
public:
    using apply_function = std::function<void(const std::shared_ptr<const rules::rulebook>&)>;

    config_driver(services& deps, cluster& members, http_fetcher& fetcher, audit_trail& audit,
                  apply_function apply);

    void tick();
    void on_message(std::span<const std::uint8_t> bytes);

    /// @brief The rulebook in force; null before the first. Thread-safe.
    [[nodiscard]] std::shared_ptr<const rules::rulebook> current() const;
    /// @brief Whether requests may be served by the rulebook in force. Thread-safe.
    [[nodiscard]] bool ready() const;
    /// @brief The state for operators, as one JSON object. Thread-safe.
    [[nodiscard]] nlohmann::ordered_json status() const;

private:
    void perform(const config::effects& effects);
    void call_service(const config::watch_call& call);
    void on_service_response(const fetch_result& response);
    void fetch_part(const base::digest& digest);
    void write_audit(const config::audit_entry& entry);
    void log_event(const config::event& event);
    void publish_status();

    services& m_deps;
    cluster& m_members;
    http_fetcher& m_fetcher;
    audit_trail& m_audit;
    apply_function m_apply;
    config::store m_store;
    config::current m_current;
    mutable std::mutex m_status_mutex;
    config::status m_status;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CONFIG_DRIVER_HPP
