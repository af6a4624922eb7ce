#include "chicorylink/routing/rendezvous.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

// Updates of a pool: rules, targets and other regions.

namespace chicorylink::routing {
namespace {

/// The share of slots that is not offered to other regions.
constexpr double local_reserve = 0.1;

} // namespace

std::vector<decision> pool::on_rules(const std::shared_ptr<const rules::rulebook>& book,
                                     std::uint32_t vm_count, base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_book = book;
    m_state.vm_count = vm_count;
    const auto* route = m_book->find(m_state.route);
    m_open_to_all = route != nullptr && route->open_to_all;
    std::vector<target_state> targets;
    for (const auto* rule : m_book->targets_of(m_state.route, m_state.region)) {
        const auto* known = find(rule->id);
        targets.push_back(known != nullptr ? *known : target_state{.id = rule->id});
        targets.back().slots = rule->slots;
    }
    m_state.targets = std::move(targets);
    std::vector<other_region> others;
    for (const auto& rule : m_book->regions()) {
        if (rule.id == m_state.region || m_book->targets_of(m_state.route, rule.id).empty()) {
            continue;
        }
        const auto known = std::find_if(m_state.others.begin(), m_state.others.end(),
                                        [&](const auto& one) { return one.region == rule.id; });
        auto entry = known != m_state.others.end() ? *known : other_region{.region = rule.id};
        if (const auto* link = m_book->find_link(m_state.region, rule.id)) {
            entry.link_delay = link->delay;
            entry.link_rate = link->rate;
            entry.price_per_megabyte = link->price_per_megabyte;
        }
        others.push_back(entry);
    }
    m_state.others = std::move(others);
    std::vector<decision> decisions;
    const auto forbidden = m_queue.take_if(
        [&](const request& waiting) {
            const auto* team = team_of(waiting);
            return team == nullptr || !rules::may_run_in(*team, m_state.region);
        },
        m_queue.size());
    decisions.reserve(forbidden.size());
    for (const auto& waiting : forbidden) {
        decisions.push_back(refuse(waiting, refusal_reason::region_not_allowed, min_retry_after));
    }
    drain(decisions, now);
    return decisions;
}

void pool::on_region_vms(std::uint32_t vm_count)
{
    const std::lock_guard lock(m_mutex);
    m_state.vm_count = std::max(vm_count, 1U);
}

std::vector<decision> pool::on_target_report(base::target_id target, const load_report& report,
                                             base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<decision> decisions;
    if (auto* state = find(target)) {
        routing::on_report(*state, report, now);
        drain(decisions, now);
    }
    return decisions;
}

void pool::on_target_state(base::target_id target, target_availability state, base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto* known = find(target);
    if (known == nullptr || known->availability == state) {
        return;
    }
    on_availability(*known, state, now);
    if (state == target_availability::live) {
        m_state.hints.remove(target);
    }
}

void pool::on_cache_hint(base::target_id target, std::span<const prefix_hash> blocks,
                         base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (find(target) != nullptr) {
        m_state.hints.remember(blocks, target, now);
    }
}

void pool::on_region_summary(base::region_id region, const route_summary& entry,
                             base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    for (auto& other : m_state.others) {
        if (other.region == region) {
            other.slots = entry.slots;
            other.free_slots = entry.free_slots;
            other.queue_delay = entry.queue_delay;
            other.reported_at = now;
            other.sent_since_report = 0;
        }
    }
}

route_summary pool::summary(base::time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto capacity = capacity_of(m_state, now);
    const auto reserved =
        static_cast<std::uint32_t>(std::ceil(static_cast<double>(capacity.usable) * local_reserve));
    const auto regions = std::max<std::size_t>(m_state.others.size(), 1);
    const auto waiting = !m_queue.empty();
    const auto free = waiting || capacity.free <= reserved ? 0U : capacity.free - reserved;
    return {m_state.route, capacity.usable, static_cast<std::uint32_t>(free / regions),
            m_queue.expected_delay({}, 1, fallback_rate(capacity))};
}

} // namespace chicorylink::routing
