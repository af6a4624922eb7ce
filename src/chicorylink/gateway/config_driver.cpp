#include "chicorylink/gateway/config_driver.hpp"

#include "chicorylink/base/log.hpp"
#include "chicorylink/gateway/audit_trail.hpp"
#include "chicorylink/gateway/platform_poller.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/rules/parse.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <atomic>
#include <utility>

namespace chicorylink::gateway {

config_driver::config_driver(services& all, cluster& /*members*/, platform_poller& platform,
                             audit_trail& audit, apply_function apply)
    : m_all(all), m_platform(platform), m_audit(audit), m_apply(std::move(apply))
{
}

void config_driver::tick()
{
    if (std::exchange(m_watching, true)) {
        return;
    }
    const auto book = current();
    const auto url = m_all.config.platform_url + "/v1/config/manifest?wait_ms=5000&after=" +
                     std::to_string(book ? book->version().value() : 0);
    m_platform.get(url, base::milliseconds{8'000}, [this](const fetched& answer) {
        if (answer.status == 200) {
            take_manifest(answer.body);
            return;
        }
        m_watching = false;
    });
}

void config_driver::on_message(base::vm_id /*from*/, std::span<const std::uint8_t> /*bytes*/) {}

std::shared_ptr<const rules::rulebook> config_driver::current() const
{
    return std::atomic_load(&m_current);
}

nlohmann::ordered_json config_driver::status() const
{
    return nlohmann::ordered_json::object();
}

void config_driver::take_manifest(const std::string& text)
{
    m_watching = base::leaf::try_handle_all(
        [&]() -> base::result<bool> {
            BOOST_LEAF_ASSIGN(m_wanted, rules::parse_manifest(text));
            m_parts.clear();
            fetch_next();
            return true;
        },
        [] { return false; });
}

void config_driver::fetch_next()
{
    if (m_parts.size() < m_wanted.parts.size()) {
        const auto url = m_all.config.platform_url + "/v1/config/parts/" +
                         base::to_hex(m_wanted.parts[m_parts.size()].digest);
        m_platform.get(url, base::milliseconds{8'000}, [this](const fetched& answer) {
            m_parts.push_back(answer.body);
            fetch_next();
        });
        return;
    }
    m_watching = false;
    std::string text;
    for (const auto& part : m_parts) {
        text += part;
    }
    const auto outcome = rules::parse_rules(
        text, {.file = "rules", .version = m_wanted.version, .key_salt = m_wanted.key_salt});
    if (!outcome.book) {
        base::log(base::log_level::error, "rules_rejected",
                  {{"error", to_string(outcome.errors.front())}});
        return;
    }
    std::atomic_store(&m_current, outcome.book);
    m_audit.add("rules_in_force", {{"version", m_wanted.version.value()}});
    m_apply(outcome.book);
}

} // namespace chicorylink::gateway
