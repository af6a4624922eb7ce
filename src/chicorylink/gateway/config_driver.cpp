#include "chicorylink/gateway/config_driver.hpp"

#include "chicorylink/base/log.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/config/codec.hpp"
#include "chicorylink/gateway/audit_trail.hpp"
#include "chicorylink/gateway/cluster.hpp"
#include "chicorylink/gateway/control_channel.hpp"
#include "chicorylink/gateway/http_fetcher.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <optional>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::gateway {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_modified = 304;
constexpr int status_too_many_requests = 429;

/// Time that a call may take beyond the wait it requests.
constexpr base::milliseconds call_timeout_margin{3'000};

/// Changes per version that are audited individually; the rest are only counted.
constexpr std::size_t max_audited_changes = 200;

config::watch_result to_watch_result(int status)
{
    if (status == status_ok) {
        return config::watch_result::newer;
    }
    if (status == status_not_modified) {
        return config::watch_result::unchanged;
    }
    return status == status_too_many_requests ? config::watch_result::overloaded
                                              : config::watch_result::failed;
}

config::settings make_store_settings(const services& deps)
{
    config::settings store_settings;
    store_settings.self = deps.self;
    store_settings.process = deps.process.load();
    return store_settings;
}

} // namespace

config_driver::config_driver(services& deps, cluster& members, http_fetcher& fetcher,
                             audit_trail& audit, apply_function apply)
    : m_deps(deps), m_members(members), m_fetcher(fetcher), m_audit(audit),
      m_apply(std::move(apply)), m_store(make_store_settings(deps), deps.now())
{
}

void config_driver::tick()
{
    perform(m_store.tick(*m_members.view(), m_deps.now()));
}

void config_driver::on_message(std::span<const std::uint8_t> bytes)
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(message, config::decode(bytes));
            perform(m_store.receive(message, *m_members.view(), m_deps.now()));
            return {};
        },
        [&] { m_deps.metrics->add("chicorylink_bad_input_total{reason=\"config_message\"}"); });
}

std::shared_ptr<const rules::rulebook> config_driver::current() const
{
    return m_current.get();
}

bool config_driver::ready() const
{
    const std::lock_guard lock(m_status_mutex);
    return m_status.ready;
}

nlohmann::ordered_json config_driver::status() const
{
    const std::lock_guard lock(m_status_mutex);
    nlohmann::ordered_json row{{"in_force", m_status.in_force.value()},
                               {"newest_heard", m_status.newest_heard.value()},
                               {"ready", m_status.ready},
                               {"watches_service", m_status.on_duty},
                               {"service_reachable", m_status.service_reachable},
                               {"service_behind", m_status.service_behind},
                               {"service_calls", m_status.service_calls},
                               {"service_failures", m_status.service_failures},
                               {"corrupt_contents", m_status.corrupt_contents}};
    if (m_status.rejected != base::config_version{}) {
        row["rejected"] = m_status.rejected.value();
        row["rejection"] = m_status.rejection;
    }
    return row;
}

void config_driver::perform(const config::effects& effects)
{
    for (const auto& message : effects.send) {
        m_deps.network->send_control(
            message.to, config_channel,
            wrap_control(m_deps.process.load(), config::encode(message.content)));
    }
    if (effects.watch) {
        call_service(*effects.watch);
    }
    for (const auto& digest : effects.fetch) {
        fetch_part(digest);
    }
    for (const auto& event : effects.events) {
        log_event(event);
    }
    publish_status();
    if (effects.apply && m_current.set(effects.apply)) {
        m_apply(effects.apply);
    }
    for (std::size_t i = 0; i < effects.audit.size() && i < max_audited_changes; ++i) {
        write_audit(effects.audit[i]);
    }
    if (effects.audit.size() > max_audited_changes) {
        m_audit.add("rule_changes_not_listed",
                    {{"count", effects.audit.size() - max_audited_changes}});
    }
}

void config_driver::call_service(const config::watch_call& call)
{
    const auto url = fmt::format("{}/v1/config/manifest?after={}&wait_ms={}",
                                 m_deps.config.platform_url, call.after.value(), call.wait.count());
    m_fetcher.get(url, call.wait + call_timeout_margin,
                  [this](const fetch_result& response) { on_service_response(response); });
}

void config_driver::on_service_response(const fetch_result& response)
{
    const auto result = to_watch_result(response.status);
    const auto text = result == config::watch_result::newer ? response.body : std::string{};
    perform(m_store.on_watch(result, text, *m_members.view(), m_deps.now()));
}

void config_driver::fetch_part(const base::digest& digest)
{
    const auto url =
        fmt::format("{}/v1/config/parts/{}", m_deps.config.platform_url, base::to_hex(digest));
    m_fetcher.get(url, call_timeout_margin, [this, digest](const fetch_result& response) {
        std::optional<std::string> content;
        if (response.status == status_ok) {
            content = response.body;
        }
        perform(m_store.on_part(digest, content, *m_members.view(), m_deps.now()));
    });
}

void config_driver::write_audit(const config::audit_entry& entry)
{
    m_audit.add("rule_changed", {{"version", entry.newer.value()},
                                 {"older_version", entry.older.value()},
                                 {"change", rules::to_string(entry.what.what)},
                                 {"rule", rules::to_string(entry.what.kind)},
                                 {"name", entry.what.name},
                                 {"field", entry.what.field},
                                 {"old", entry.what.old_value},
                                 {"new", entry.what.new_value},
                                 {"asked_by", entry.what.source.asked_by},
                                 {"line", entry.what.source.line}});
}

void config_driver::log_event(const config::event& event)
{
    const auto name = config::to_string(event.kind);
    m_deps.metrics->add(fmt::format("chicorylink_config_events_total{{event=\"{}\"}}", name));
    base::log(base::log_level::info, name,
              {{"version", event.version.value()}, {"detail", event.detail}});
}

void config_driver::publish_status()
{
    const auto& report = m_store.report();
    m_members.set_reaches_service(report.service_reachable);
    m_deps.metrics->set("chicorylink_config_version", static_cast<double>(report.in_force.value()));
    m_deps.metrics->set("chicorylink_config_service_reachable", report.service_reachable ? 1 : 0);
    const std::lock_guard lock(m_status_mutex);
    m_status = report;
}

} // namespace chicorylink::gateway
