#include "chicorylink/gateway/daemon_core.hpp"

#include "chicorylink/base/log.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/gateway/admission.hpp"
#include "chicorylink/gateway/budget_gate.hpp"
#include "chicorylink/gateway/control_channel.hpp"
#include "chicorylink/gateway/finish.hpp"
#include "chicorylink/gateway/forwarded_stream.hpp"
#include "chicorylink/gateway/request_watch.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/gateway/summary_receivers.hpp"
#include "chicorylink/gateway/ticket_manager.hpp"
#include "chicorylink/routing/codec.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/wire/peer_network_builder.hpp"

#include <chrono>
#include <fstream>
#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

constexpr base::milliseconds router_interval{10};
constexpr base::milliseconds tick_interval{100};
constexpr base::milliseconds poll_interval{1'000};

base::time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t unix_time_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Returns `IP:port` with the port that is actually bound.
std::string with_port(const std::string& address, std::uint16_t port)
{
    return fmt::format("{}:{}", address.substr(0, address.rfind(':')), port);
}

base::result<std::string> read_file(const std::string& flag, const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return base::fail(base::error_kind::invalid_setting,
                          fmt::format("{} ({}) is '{}': the file can't be read", flag,
                                      environment_variable_of(flag), name),
                          "correct the name or the file's permissions");
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

membership::identity make_identity(const services& deps, const settings& config,
                                   const std::string& callers, const std::string& peers)
{
    membership::identity self;
    self.name = config.vm;
    self.region = deps.region;
    self.data_center = base::id_of<base::data_center_id>(config.data_center);
    self.caller_address = callers;
    self.peer_address = peers;
    self.process = deps.process.load();
    self.started_ms = unix_time_ms();
    return self;
}

} // namespace

daemon_core::daemon_core(const settings& config) : m_config(config), m_loop(&steady_now)
{
    m_services.config = config;
    m_services.self = base::id_of<base::vm_id>(config.vm);
    m_services.region = base::id_of<base::region_id>(config.region);
    m_services.process = base::incarnation{base::random_bits()};
    m_services.prefix_salt = base::hash_name("prefix" + config.ticket_keys.back());
    m_services.metrics = &m_metrics;
    m_services.requests = &m_requests;
    m_services.retries = &m_retries;
    m_services.teams = &m_teams;
    m_services.now = &steady_now;
    m_services.rulebook = [this] { return m_started ? m_rules->current() : nullptr; };
    m_services.rules_are_current = [this] { return m_started && m_rules->ready(); };
    m_services.view = [this] { return m_cluster->view(); };
}

daemon_core::~daemon_core()
{
    m_loop.stop();
}

base::result<void> daemon_core::start()
{
    m_router = std::make_unique<routing::router>(routing::router_settings{
        m_services.region, m_services.self, m_services.process.load(), base::random_bits()});
    m_services.router = m_router.get();
    m_platform_http = std::make_unique<platform::http_client>();
    m_target_http = std::make_unique<platform::http_client>();
    m_services.http = m_target_http.get();
    m_fetcher = std::make_unique<http_fetcher>(*m_platform_http, m_loop, &steady_now);
    m_targets = std::make_unique<target_watch>(m_services);
    m_tickets = std::make_unique<ticket_manager>(m_services);
    m_services.tickets = m_tickets.get();
    m_budget = std::make_unique<budget_gate>(m_services, steady_now());
    m_services.budget = m_budget.get();
    BOOST_LEAF_CHECK(start_callers());
    BOOST_LEAF_CHECK(start_network());
    BOOST_LEAF_CHECK(start_operators());
    start_loop();
    m_started = true;
    base::log(base::log_level::info, "started", {{"addresses", addresses()}});
    return {};
}

base::result<void> daemon_core::start_callers()
{
    http_server_settings listener;
    listener.listen = m_config.listen;
    listener.max_body_bytes = m_config.max_body_bytes;
    listener.max_connections = m_config.max_connections;
    listener.idle_seconds = m_config.idle_seconds;
    listener.read_seconds = m_config.read_seconds;
    if (!m_config.callers_certificate_file.empty()) {
        BOOST_LEAF_ASSIGN(listener.certificate,
                          read_file("--callers-certificate", m_config.callers_certificate_file));
        BOOST_LEAF_ASSIGN(listener.private_key,
                          read_file("--callers-key", m_config.callers_key_file));
    }
    http_server_handlers handlers;
    handlers.on_head = [this](const caller_request& head) { return check_head(m_services, head); };
    handlers.on_request = [this](const std::shared_ptr<exchange>& request) {
        accept(m_services, request);
    };
    handlers.on_done = [this](const std::shared_ptr<exchange>& request, bool completed) {
        if (!completed) {
            on_caller_disconnected(*request);
        }
    };
    handlers.on_bad_input = [this](const char* reason) {
        m_metrics.add(fmt::format("chicorylink_bad_input_total{{reason=\"{}\"}}", reason));
    };
    BOOST_LEAF_ASSIGN(m_callers, http_server::start(listener, std::move(handlers)));
    return {};
}

base::result<void> daemon_core::start_network()
{
    wire::peer_handler handler;
    handler.on_control = [this](base::vm_id from, base::incarnation, wire::channel_id channel,
                                std::span<const std::uint8_t> bytes) {
        on_control(from, channel, bytes);
    };
    handler.on_open = [this](base::vm_id from, base::incarnation, wire::stream_id stream,
                             std::span<const std::uint8_t> header) {
        return accept_forwarded(m_services, from, stream, header);
    };
    handler.on_refused = [this](base::vm_id vm) {
        m_loop.post([this, vm] { m_cluster->on_refused(vm); });
    };
    wire::peer_network_builder builder(m_services.self, m_services.process.load());
    builder.listen(m_config.peer_listen).metrics(m_metrics).handler(std::move(handler));
    if (m_config.peer_plaintext) {
        builder.plain_text();
    }
    else {
        builder.tls(
            {m_config.peer_ca_file, m_config.peer_certificate_file, m_config.peer_key_file});
    }
    BOOST_LEAF_ASSIGN(m_network, builder.build());
    m_services.network = m_network.get();
    const auto callers = with_port(m_config.listen, m_callers->port());
    m_cluster = std::make_unique<cluster>(
        m_services, make_identity(m_services, m_config, callers, m_network->listen_address()),
        cluster::hooks{[this](const membership::view& view) { m_budget->on_view(view); },
                       [this] { on_renewed(); }});
    return {};
}

base::result<void> daemon_core::start_operators()
{
    http_server_settings listener;
    listener.listen = m_config.operators_listen;
    listener.threads = 1;
    http_server_handlers handlers;
    handlers.on_request = [sources = make_sources()](const std::shared_ptr<exchange>& request) {
        request->respond(handle_operator_request(sources, request->request()));
    };
    BOOST_LEAF_ASSIGN(m_operators, http_server::start(listener, std::move(handlers)));
    return {};
}

void daemon_core::start_loop()
{
    m_rules = std::make_unique<config_driver>(
        m_services, *m_cluster, *m_fetcher, m_audit,
        [this](const std::shared_ptr<const rules::rulebook>& book) { on_rules(book); });
    m_loop.every(router_interval, [this] {
        apply_decisions(m_services, m_router->tick(steady_now()));
        for (const auto& entry : m_retries.take_due(steady_now())) {
            submit(m_services, entry);
        }
    });
    m_loop.every(tick_interval, [this] {
        m_cluster->tick();
        m_rules->tick();
        m_budget->tick();
        end_overdue(m_services);
        m_callers->find_closed_callers();
    });
    m_loop.every(poll_interval, [this] {
        m_cluster->poll_list(*m_fetcher);
        m_targets->poll_list(*m_fetcher);
        send_region_summary();
        m_tickets->tick();
    });
    m_loop.every(membership::target_table::poll_interval, [this] {
        m_targets->poll_loads(*m_fetcher);
        m_targets->send_reports();
    });
    m_loop.start();
}

void daemon_core::on_control(base::vm_id from, wire::channel_id channel,
                             std::span<const std::uint8_t> bytes)
{
    if (!m_started) {
        return;
    }
    const auto message = unwrap_control(bytes);
    if (!message) {
        m_metrics.add("chicorylink_bad_input_total{reason=\"control_message\"}");
        return;
    }
    if (channel == budget_channel) {
        m_budget->on_message(from, message->process, message->content);
        return;
    }
    if (channel == routing_channel) {
        base::leaf::try_handle_all(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(summary, routing::decode(message->content));
                m_router->on_region_summary(summary, steady_now());
                return {};
            },
            [&] { m_metrics.add("chicorylink_bad_input_total{reason=\"region_summary\"}"); });
        return;
    }
    std::vector<std::uint8_t> content(message->content.begin(), message->content.end());
    m_loop.post([this, channel, content = std::move(content)] {
        if (channel == membership_channel) {
            m_cluster->on_message(content);
        }
        if (channel == targets_channel) {
            m_targets->on_message(content);
        }
        if (channel == config_channel) {
            m_rules->on_message(content);
        }
    });
}

void daemon_core::on_rules(const std::shared_ptr<const rules::rulebook>& book)
{
    m_cluster->set_config_known(book->version());
    m_targets->on_rules(*book);
    m_budget->on_rules(book);
    apply_decisions(m_services, m_router->on_rules(book, steady_now()));
    end_unauthorized(m_services, *book);
}

void daemon_core::on_renewed()
{
    m_budget->renew(steady_now());
    m_tickets->renew();
}

void daemon_core::on_caller_disconnected(const exchange& request)
{
    if (const auto entry = m_requests.find(routing::request_id{request.owner()})) {
        cancel(m_services, entry);
    }
}

void daemon_core::send_region_summary()
{
    const auto view = m_cluster->view();
    std::uint32_t region_vms = 0;
    for (const auto& vm : view->members) {
        region_vms += vm.region == m_services.region && membership::takes_work(vm) ? 1U : 0U;
    }
    m_router->on_region_vms(std::max(region_vms, 1U));
    if (m_services.leaving) {
        return;
    }
    const auto bytes =
        wrap_control(m_services.process.load(), routing::encode(m_router->summary(steady_now())));
    for (const auto vm : summary_receivers(*view, m_services.region)) {
        m_network->send_control(vm, routing_channel, bytes);
    }
}

std::string daemon_core::addresses() const
{
    const nlohmann::ordered_json line{
        {"callers", with_port(m_config.listen, m_callers->port())},
        {"peers", m_network->listen_address()},
        {"operators", with_port(m_config.operators_listen, m_operators->port())}};
    return line.dump();
}

void daemon_core::reload_tls()
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            if (!m_config.callers_certificate_file.empty()) {
                BOOST_LEAF_AUTO(certificate, read_file("--callers-certificate",
                                                       m_config.callers_certificate_file));
                BOOST_LEAF_AUTO(key, read_file("--callers-key", m_config.callers_key_file));
                BOOST_LEAF_CHECK(m_callers->reload_tls(std::move(certificate), std::move(key)));
            }
            if (!m_config.peer_plaintext) {
                BOOST_LEAF_CHECK(m_network->reload_tls());
            }
            m_audit.add("tls_reloaded", {{"vm", m_config.vm}});
            return {};
        },
        [](const base::error& failure) {
            base::log(base::log_level::error, "tls_reload_failed",
                      {{"message", base::describe(failure)}});
        },
        [] {});
}

} // namespace chicorylink::gateway
