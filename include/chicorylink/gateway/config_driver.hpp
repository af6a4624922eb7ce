#ifndef CHICORYLINK_GATEWAY_CONFIG_DRIVER_HPP
#define CHICORYLINK_GATEWAY_CONFIG_DRIVER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/rules/manifest.hpp"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace chicorylink::rules {
class rulebook;
} // namespace chicorylink::rules

namespace chicorylink::gateway {

class audit_trail;
class cluster;
class platform_poller;
struct services;

/// @brief Fetches the rules and puts them in force.
class config_driver {
public:
    using apply_function = std::function<void(const std::shared_ptr<const rules::rulebook>&)>;

    config_driver(services& all, cluster& members, platform_poller& platform, audit_trail& audit,
                  apply_function apply);

    void tick();
    void on_message(base::vm_id from, std::span<const std::uint8_t> bytes);
    [[nodiscard]] std::shared_ptr<const rules::rulebook> current() const;
    [[nodiscard]] nlohmann::ordered_json status() const;

private:
    void take_manifest(const std::string& text);
    void fetch_next();

    services& m_all;
    platform_poller& m_platform;
    audit_trail& m_audit;
    apply_function m_apply;
    bool m_watching = false;
    rules::manifest m_wanted;
    std::vector<std::string> m_parts;
    std::shared_ptr<const rules::rulebook> m_current;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CONFIG_DRIVER_HPP
