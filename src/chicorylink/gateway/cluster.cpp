#include "chicorylink/gateway/cluster.hpp"

#include "chicorylink/base/log.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/gateway/control_channel.hpp"
#include "chicorylink/gateway/http_fetcher.hpp"
#include "chicorylink/gateway/request_table.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/membership/codec.hpp"
#include "chicorylink/platform/vm_list.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <atomic>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {
namespace {

constexpr base::milliseconds list_timeout{3'000};

/// Maximum delay between a refused connection and its report. A refusal counts as the end of a
/// process only if that process has been known for longer than this.
constexpr base::milliseconds max_refusal_age{2'000};

std::uint64_t unix_time_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

cluster::cluster(services& deps, membership::identity self, hooks callbacks)
    : m_deps(deps), m_hooks(std::move(callbacks)),
      m_table(std::move(self), membership::timing{}, deps.now()),
      m_view(std::make_shared<const membership::view>(m_table.current(deps.now())))
{
}

void cluster::tick()
{
    m_table.set_load({static_cast<std::uint32_t>(m_deps.requests->size()), 0});
    perform(m_table.tick(m_deps.now()));
    renew_if_needed();
    publish();
}

void cluster::poll_list(http_fetcher& fetcher)
{
    fetcher.get(m_deps.config.platform_url + "/v1/vms", list_timeout,
                [this](const fetch_result& response) {
                    constexpr int status_ok = 200;
                    if (response.status != status_ok) {
                        m_deps.metrics->add("chicorylink_platform_errors_total{call=\"vms\"}");
                        return;
                    }
                    apply_list(response.body, response.requested_at);
                });
}

void cluster::apply_list(const std::string& body, base::time_point requested_at)
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(list, platform::parse_vm_list(body));
            perform(m_table.on_list(list, requested_at, m_deps.now()));
            return {};
        },
        [&](const base::error& failure) {
            m_deps.metrics->add("chicorylink_platform_errors_total{call=\"vms\"}");
            base::log(base::log_level::warning, "vm_list_unreadable",
                      {{"message", base::describe(failure)}});
        },
        [] {});
    publish();
}

void cluster::on_message(std::span<const std::uint8_t> bytes)
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(message, membership::decode(bytes));
            perform(m_table.receive(message, m_deps.now()));
            return {};
        },
        [&] { m_deps.metrics->add("chicorylink_bad_input_total{reason=\"membership_message\"}"); });
    renew_if_needed();
    publish();
}

void cluster::on_refused(base::vm_id vm)
{
    const auto now = m_deps.now();
    const auto found = m_known_processes.find(vm);
    if (found == m_known_processes.end() || now - found->second.since < max_refusal_age) {
        return;
    }
    perform(m_table.connection_refused(vm, found->second.process, now));
    publish();
}

void cluster::set_leaving()
{
    perform(m_table.set_leaving(m_deps.now()));
    publish();
}

void cluster::set_config_known(base::config_version version)
{
    m_table.set_config_known(version);
}

void cluster::set_reaches_service(bool reaches)
{
    m_table.set_reaches_service(reaches);
}

std::shared_ptr<const membership::view> cluster::view() const
{
    return std::atomic_load(&m_view);
}

bool cluster::list_is_fresh() const
{
    return view()->list_is_fresh;
}

void cluster::perform(const membership::effects& effects)
{
    for (const auto& message : effects.send) {
        m_deps.network->send_control(
            message.to, membership_channel,
            wrap_control(m_deps.process.load(), membership::encode(message.content)));
    }
    for (const auto& event : effects.events) {
        const auto* member = membership::find(*view(), event.vm);
        base::log(
            base::log_level::info, membership::to_string(event.kind),
            {{"peer", member != nullptr ? member->name : ""}, {"process", event.process.value()}});
    }
}

void cluster::renew_if_needed()
{
    if (!m_table.must_renew()) {
        return;
    }
    const base::incarnation process{base::random_bits()};
    base::log(base::log_level::warning, "process_renewed",
              {{"reason", "other VMs consider this process gone"}});
    m_deps.process = process;
    m_table.renew(process, unix_time_ms(), m_deps.now());
    m_hooks.on_renewed();
}

void cluster::update_known_processes()
{
    for (const auto& vm : view()->members) {
        auto& known = m_known_processes[vm.id];
        if (known.process != vm.process) {
            known = {vm.process, m_deps.now()};
        }
    }
}

void cluster::publish()
{
    auto new_view = std::make_shared<const membership::view>(m_table.current(m_deps.now()));
    std::atomic_store(&m_view, new_view);
    update_known_processes();
    std::map<base::vm_id, std::string> peers;
    for (const auto& vm : new_view->members) {
        if (vm.id != m_deps.self) {
            peers[vm.id] = vm.peer_address;
        }
    }
    if (peers != m_peers) {
        m_peers = peers;
        std::vector<wire::peer_address> addresses;
        addresses.reserve(peers.size());
        for (const auto& [vm, address] : peers) {
            addresses.push_back({vm, address});
        }
        m_deps.network->set_peers(addresses);
    }
    m_hooks.on_view(*new_view);
}

} // namespace chicorylink::gateway
