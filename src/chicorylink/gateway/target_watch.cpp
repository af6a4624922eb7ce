#include "chicorylink/gateway/target_watch.hpp"

#include "chicorylink/base/metrics.hpp"
#include "chicorylink/gateway/platform_poller.hpp"
#include "chicorylink/gateway/services.hpp"
#include "chicorylink/gateway/steps.hpp"
#include "chicorylink/routing/router.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <utility>

namespace chicorylink::gateway {
namespace {

constexpr base::milliseconds poll_timeout{2'000};
constexpr int status_ok = 200;

routing::load_report to_routing(const platform::load_report& report)
{
    return {report.running, report.waiting, report.slots, report.leaving, report.age};
}

} // namespace

void target_watch::poll_list(platform_poller& platform)
{
    if (std::exchange(m_list_pending, true)) {
        return;
    }
    platform.get(
        m_all.config.platform_url + "/v1/targets", poll_timeout, [this](const fetched& answer) {
            m_list_pending = false;
            base::leaf::try_handle_all(
                [&]() -> base::result<void> {
                    BOOST_LEAF_AUTO(list, platform::parse_target_list(answer.body));
                    take_list(list);
                    return {};
                },
                [&] { m_all.metrics->add("chicorylink_platform_errors_total{call=\"targets\"}"); });
        });
}

void target_watch::poll_loads(platform_poller& platform)
{
    const auto book = m_all.rulebook();
    if (!book) {
        return;
    }
    for (const auto& target : book->targets()) {
        if (target.region != m_all.region || !m_pending.insert(target.id).second) {
            continue;
        }
        platform.get("http://" + target.address + "/v1/load", poll_timeout,
                     [this, id = target.id](const fetched& answer) {
                         m_pending.erase(id);
                         if (answer.status != status_ok) {
                             return;
                         }
                         base::leaf::try_handle_all(
                             [&]() -> base::result<void> {
                                 BOOST_LEAF_AUTO(report, platform::parse_load_report(answer.body));
                                 take_report(id, report);
                                 return {};
                             },
                             [] {});
                     });
    }
}

void target_watch::take_list(const platform::target_list& list)
{
    for (const auto& row : list.targets) {
        set_leaving(row.id, row.leaving);
    }
}

void target_watch::set_leaving(base::target_id target, bool leaving)
{
    bool leaves = false;
    {
        const std::lock_guard lock(m_mutex);
        auto& known = m_known[target];
        known.leaving_by_list = leaving;
        leaves = known.leaving_by_list || known.leaving_by_report;
    }
    m_all.router->on_target_state(
        target, leaves ? routing::target_availability::leaving : routing::target_availability::live,
        m_all.now());
}

void target_watch::take_report(base::target_id target, const platform::load_report& report)
{
    const auto now = m_all.now();
    auto told = to_routing(report);
    {
        const std::lock_guard lock(m_mutex);
        auto& known = m_known[target];
        known.leaving_by_report = report.leaving;
        known.report = report;
        known.reported_at = now;
        told.leaving = known.leaving_by_list || known.leaving_by_report;
    }
    apply_decisions(m_all, m_all.router->on_target_report(target, told, now));
}

nlohmann::ordered_json target_watch::rows() const
{
    auto rows = nlohmann::ordered_json::array();
    const auto book = m_all.rulebook();
    if (!book) {
        return rows;
    }
    const auto now = m_all.now();
    const std::lock_guard lock(m_mutex);
    for (const auto& target : book->targets()) {
        const auto* region = book->find(target.region);
        nlohmann::ordered_json row{{"target", target.name},
                                   {"region", region != nullptr ? region->name : ""},
                                   {"address", target.address},
                                   {"slots", target.slots}};
        const auto found = m_known.find(target.id);
        if (found != m_known.end()) {
            const auto& known = found->second;
            const bool leaves = known.leaving_by_list || known.leaving_by_report;
            row["state"] = leaves ? "leaving" : "live";
            row["running"] = known.report.running;
            row["waiting"] = known.report.waiting;
            if (known.reported_at != base::time_point{}) {
                row["report_age_ms"] =
                    std::chrono::duration_cast<base::milliseconds>(now - known.reported_at).count();
            }
        }
        rows.push_back(row);
    }
    return rows;
}

} // namespace chicorylink::gateway
