#include "chicorylink/gateway/target_watch.hpp"

#include "chicorylink/base/metrics.hpp"
#include "chicorylink/gateway/control_channel.hpp"
#include "chicorylink/gateway/http_fetcher.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/platform/load_report.hpp"
#include "chicorylink/platform/target_list.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/wire/peer_network.hpp"

#include <utility>

namespace chicorylink::gateway {
namespace {

constexpr base::milliseconds poll_timeout{2'000};
constexpr int status_ok = 200;

membership::target_report to_report(base::target_id target, const platform::load_report& load_info)
{
    membership::target_report report;
    report.target = target;
    report.reachable = true;
    report.leaving = load_info.leaving;
    report.running = load_info.running;
    report.waiting = load_info.waiting;
    report.slots = load_info.slots;
    report.age = load_info.age;
    return report;
}

} // namespace

target_watch::target_watch(services& deps) : m_deps(deps), m_table(deps.self, deps.process.load())
{
}

void target_watch::on_rules(const rules::rulebook& book)
{
    std::vector<base::target_id> targets;
    for (const auto& target : book.targets()) {
        if (target.region == m_deps.region) {
            targets.push_back(target.id);
        }
    }
    const std::lock_guard lock(m_mutex);
    m_table.set_targets(std::move(targets));
}

void target_watch::poll_list(http_fetcher& fetcher)
{
    if (std::exchange(m_list_pending, true)) {
        return;
    }
    const auto url = m_deps.config.platform_url + "/v1/targets";
    fetcher.get(url, poll_timeout, [this](const fetch_result& response) {
        m_list_pending = false;
        base::leaf::try_handle_all(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(list, platform::parse_target_list(response.body));
                {
                    const std::lock_guard lock(m_mutex);
                    m_table.on_list(list);
                }
                update_router();
                return {};
            },
            [&] { m_deps.metrics->add("chicorylink_platform_errors_total{call=\"targets\"}"); });
    });
}

void target_watch::poll_loads(http_fetcher& fetcher)
{
    const auto book = m_deps.rulebook();
    if (!book) {
        return;
    }
    std::vector<base::target_id> assigned;
    {
        const std::lock_guard lock(m_mutex);
        assigned = m_table.targets_to_poll(*m_deps.view());
    }
    for (const auto id : assigned) {
        const auto* target = book->find(id);
        if (target == nullptr || !m_pending_loads.insert(id).second) {
            continue;
        }
        fetcher.get("http://" + target->address + "/v1/load", poll_timeout,
                    [this, id](const fetch_result& response) { on_load_response(id, response); });
    }
}

void target_watch::on_load_response(base::target_id target, const fetch_result& response)
{
    m_pending_loads.erase(target);
    membership::target_report report;
    report.target = target;
    report.reachable = false;
    if (response.status == status_ok) {
        base::leaf::try_handle_all(
            [&]() -> base::result<void> {
                BOOST_LEAF_AUTO(load_info, platform::parse_load_report(response.body));
                report = to_report(target, load_info);
                return {};
            },
            [&] { m_deps.metrics->add("chicorylink_bad_input_total{reason=\"load_report\"}"); });
    }
    {
        const std::lock_guard lock(m_mutex);
        m_table.on_poll(report, m_deps.now());
    }
    update_router();
    send_reports();
}

void target_watch::send_reports()
{
    const auto peers = region_peers();
    std::optional<membership::target_reports> reports;
    {
        const std::lock_guard lock(m_mutex);
        reports = m_table.take_reports(peers.size(), m_deps.now());
    }
    if (!reports) {
        return;
    }
    const auto bytes = wrap_control(m_deps.process.load(), membership::encode(*reports));
    for (const auto vm : peers) {
        m_deps.network->send_control(vm, targets_channel, bytes);
    }
}

void target_watch::on_message(std::span<const std::uint8_t> bytes)
{
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(reports, membership::decode_reports(bytes));
            {
                const std::lock_guard lock(m_mutex);
                m_table.receive(reports, m_deps.now());
            }
            update_router();
            return {};
        },
        [&] { m_deps.metrics->add("chicorylink_bad_input_total{reason=\"target_reports\"}"); });
}

void target_watch::update_router()
{
    const auto now = m_deps.now();
    std::vector<membership::target_status> known;
    {
        const std::lock_guard lock(m_mutex);
        known = m_table.all(now);
    }
    for (const auto& target : known) {
        m_deps.router->on_target_state(target.id,
                                       target.leaving ? routing::target_availability::leaving
                                                      : routing::target_availability::live,
                                       now);
        if (!target.report || !target.report->reachable) {
            continue;
        }
        const auto reported_at = now - target.report_age;
        auto& last_reported_at = m_router_report_times[target.id];
        if (reported_at <= last_reported_at) {
            continue;
        }
        last_reported_at = reported_at;
        const auto& report = *target.report;
        apply_decisions(
            m_deps, m_deps.router->on_target_report(target.id,
                                                    {report.running, report.waiting, report.slots,
                                                     target.leaving, target.report_age},
                                                    now));
    }
}

std::vector<base::vm_id> target_watch::region_peers() const
{
    std::vector<base::vm_id> peers;
    const auto view = m_deps.view();
    for (const auto& vm : view->members) {
        if (vm.region == m_deps.region && vm.id != m_deps.self &&
            vm.state != membership::member_state::gone) {
            peers.push_back(vm.id);
        }
    }
    return peers;
}

nlohmann::ordered_json target_watch::rows() const
{
    auto rows = nlohmann::ordered_json::array();
    const auto book = m_deps.rulebook();
    if (!book) {
        return rows;
    }
    const std::lock_guard lock(m_mutex);
    for (const auto& known : m_table.all(m_deps.now())) {
        const auto* target = book->find(known.id);
        if (target == nullptr) {
            continue;
        }
        nlohmann::ordered_json row{{"target", target->name},
                                   {"address", target->address},
                                   {"state", known.leaving ? "leaving" : "live"},
                                   {"slots", target->slots}};
        row["reachable"] = known.reachable;
        if (known.report) {
            row["running"] = known.report->running;
            row["waiting"] = known.report->waiting;
            row["report_age_ms"] = known.report_age.count();
        }
        rows.push_back(row);
    }
    return rows;
}

} // namespace chicorylink::gateway
