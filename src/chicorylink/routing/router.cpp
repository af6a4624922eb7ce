#include "chicorylink/routing/router.hpp"

#include "chicorylink/rules/rulebook.hpp"
#include "pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chicorylink::routing {
namespace {

void append(std::vector<decision>& list, std::vector<decision> added)
{
    list.insert(list.end(), std::make_move_iterator(added.begin()),
                std::make_move_iterator(added.end()));
}

} // namespace

router::router(router_settings settings) : m_settings(settings) {}

router::~router() = default;

std::vector<decision> router::on_rules(const std::shared_ptr<const rules::rulebook>& book,
                                       base::time_point now)
{
    std::vector<std::shared_ptr<pool>> pools;
    std::uint32_t vms = 1;
    {
        const std::lock_guard lock(m_mutex);
        vms = m_region_vms;
        for (const auto& route : book->routes()) {
            auto& entry = m_pools[route.id];
            if (!entry) {
                entry = std::make_shared<pool>(m_settings, route.id);
            }
        }
        for (const auto& [id, entry] : m_pools) {
            pools.push_back(entry);
        }
    }
    std::vector<decision> decisions;
    for (const auto& entry : pools) {
        append(decisions, entry->on_rules(book, vms, now));
    }
    return decisions;
}

void router::on_region_vms(std::uint32_t count)
{
    {
        const std::lock_guard lock(m_mutex);
        m_region_vms = std::max(count, 1U);
    }
    for (const auto& entry : all_pools()) {
        entry->on_region_vms(count);
    }
}

std::vector<decision> router::on_target_report(base::target_id target, const load_report& report,
                                               base::time_point now)
{
    std::vector<decision> decisions;
    for (const auto& entry : all_pools()) {
        append(decisions, entry->on_target_report(target, report, now));
    }
    return decisions;
}

void router::on_target_state(base::target_id target, target_availability state,
                             base::time_point now)
{
    for (const auto& entry : all_pools()) {
        entry->on_target_state(target, state, now);
    }
}

void router::on_cache_hint(base::route_id route, base::target_id target,
                           std::span<const prefix_hash> blocks, base::time_point now)
{
    if (const auto entry = find(route)) {
        entry->on_cache_hint(target, blocks, now);
    }
}

void router::on_region_summary(const region_summary& message, base::time_point now)
{
    for (const auto& one : message.routes) {
        if (const auto entry = find(one.route)) {
            entry->on_region_summary(message.region, one, now);
        }
    }
}

region_summary router::summary(base::time_point now)
{
    region_summary message{.region = m_settings.region,
                           .sender = m_settings.self,
                           .process = m_settings.process,
                           .routes = {}};
    {
        const std::lock_guard lock(m_mutex);
        message.sequence = ++m_sequence;
    }
    for (const auto& entry : all_pools()) {
        const auto one = entry->summary(now);
        if (one.slots > 0) {
            message.routes.push_back(one);
        }
    }
    return message;
}

decision router::submit(const request& req, base::time_point now)
{
    if (const auto entry = find(req.route)) {
        return entry->submit(req, now);
    }
    return {.id = req.id, .kind = decision_kind::refused, .reason = refusal_reason::no_target};
}

void router::on_first_token(request_id id, base::route_id route, base::nanoseconds latency,
                            base::time_point now)
{
    if (const auto entry = find(route)) {
        entry->on_first_token(id, latency, now);
    }
}

std::vector<decision> router::on_attempt_finished(const finished_attempt& attempt,
                                                  base::time_point now)
{
    const auto entry = find(attempt.route);
    return entry ? entry->on_attempt_finished(attempt, now) : std::vector<decision>{};
}

void router::on_forward_finished(request_id id, base::route_id route, bool reached,
                                 base::bytes transferred, base::time_point now)
{
    if (const auto entry = find(route)) {
        entry->on_forward_finished(id, reached, transferred, now);
    }
}

std::vector<decision> router::tick(base::time_point now)
{
    std::vector<decision> decisions;
    for (const auto& entry : all_pools()) {
        append(decisions, entry->tick(now));
    }
    return decisions;
}

bool router::cancel(request_id id, base::route_id route)
{
    const auto entry = find(route);
    return entry && entry->cancel(id);
}

std::size_t router::queued() const
{
    std::size_t count = 0;
    for (const auto& entry : all_pools()) {
        count += entry->queued();
    }
    return count;
}

std::shared_ptr<pool> router::find(base::route_id route) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(route);
    return found == m_pools.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<pool>> router::all_pools() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<pool>> pools;
    pools.reserve(m_pools.size());
    for (const auto& [id, entry] : m_pools) {
        pools.push_back(entry);
    }
    return pools;
}

} // namespace chicorylink::routing
