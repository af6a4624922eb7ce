#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/target_pool.hpp"

#include <algorithm>
#include <utility>

// The part of the pool that handles pushback: targets that are leaving, asked VMs to wait or limit
// their rate.

namespace chicorylink::fleet {
namespace {

limit_report report_of(const tracked_target& target, base::time_point now)
{
    const auto& told = target.pushback.limit.told;
    return {target.id, target.pushback.started_ms, told.per_second,
            std::chrono::duration_cast<base::milliseconds>(now - told.at)};
}

} // namespace

void target_pool::keep_pushbacks(const std::map<target_name, tracked_target>& next,
                                 base::time_point now)
{
    for (const auto& [name, target] : m_targets) {
        const bool has_pushback = target.pushback.leaving || pushes_back(target.pushback, now) ||
                                  limit_at(target.pushback.limit, now);
        if (has_pushback && !next.contains(name)) {
            m_departed_pushbacks.insert_or_assign(target.id, target.pushback);
        }
    }
    std::erase_if(m_departed_pushbacks, [&](const auto& entry) {
        return now - entry.second.reported_at > pushback_retention;
    });
}

bool target_pool::on_leaving(const target_name& name, base::time_point now)
{
    auto* target = find_mutable(name);
    if (target == nullptr) {
        return false;
    }
    auto& pushback = target->pushback;
    pushback.reported_at = now;
    if (std::exchange(pushback.leaving, true)) {
        return false;
    }
    pushback.repeat_until = now + notice_repeat_time;
    return true;
}

void target_pool::on_wait_requested(const target_name& name, base::milliseconds wait,
                                    std::uint64_t seed, base::time_point now)
{
    if (auto* target = find_mutable(name)) {
        note_wait(target->pushback, jittered_wait(wait, base::hash_pair(seed, target->id.value())),
                  now);
    }
}

limit_update target_pool::on_limit_stated(const target_name& name, const limit_statement& statement,
                                          base::time_point now)
{
    auto* target = find_mutable(name);
    if (target == nullptr) {
        return {};
    }
    auto& limit = target->pushback.limit;
    const auto before = limit_at(limit, now);
    if (statement.per_second || before) {
        update_statement(limit.told, statement);
        target->pushback.reported_at = now;
    }
    limit_update update;
    update.is_new = limit_at(limit, now) != before;
    const bool is_relayed = limit.relayed.per_second == limit.told.per_second &&
                            now - limit.relayed.at < limit_relay_time;
    const bool is_due = is_recent(limit.told, now) && !is_relayed &&
                        now - limit.reported_at >= limit_report_interval;
    if (update.is_new || is_due) {
        limit.reported_at = now;
        update.report = report_of(*target, now);
    }
    return update;
}

bool target_pool::on_limit_report(const limit_report& report, bool is_relayed, base::time_point now)
{
    const auto name = m_names.find(report.target);
    auto* target = name == m_names.end() ? nullptr : find_mutable(name->second);
    if (target == nullptr || target->pushback.started_ms != report.started_ms) {
        return false;
    }
    auto& limit = target->pushback.limit;
    const auto before = limit_at(limit, now);
    update_statement(is_relayed ? limit.relayed : limit.told,
                     {report.per_second, now - report.age});
    target->pushback.reported_at = now;
    return limit_at(limit, now) != before;
}

std::vector<limit_report> target_pool::limit_reports(base::time_point now) const
{
    std::vector<limit_report> reports;
    for (const auto& [name, target] : m_targets) {
        if (is_recent(target.pushback.limit.told, now)) {
            reports.push_back(report_of(target, now));
        }
    }
    return reports;
}

bool target_pool::on_notice(const target_notice& notice, bool pass_on, base::time_point now)
{
    const auto name = m_names.find(notice.target);
    auto* target = name == m_names.end() ? nullptr : find_mutable(name->second);
    if (target == nullptr || target->pushback.started_ms != notice.started_ms) {
        return false;
    }
    auto& pushback = target->pushback;
    pushback.reported_at = now;
    if (notice.wait.count() > 0) {
        note_peer_wait(pushback, notice.wait, now);
    }
    const bool newly_leaving = notice.leaving && !pushback.leaving;
    pushback.leaving = pushback.leaving || notice.leaving;
    if (pass_on && (newly_leaving || notice.wait.count() > 0)) {
        pushback.repeat_until = now + notice_repeat_time;
    }
    return newly_leaving;
}

std::vector<target_notice> target_pool::notices(base::time_point now) const
{
    std::vector<target_notice> active_notices;
    for (const auto& [name, target] : m_targets) {
        const auto& pushback = target.pushback;
        if (now >= pushback.repeat_until) {
            continue;
        }
        const auto until = std::max(pushback.wait_until, pushback.peers_wait_until);
        const auto remaining = std::chrono::duration_cast<base::milliseconds>(until - now);
        active_notices.push_back({target.id, pushback.started_ms, pushback.leaving,
                                  until > now ? remaining : base::milliseconds{0}});
    }
    return active_notices;
}

std::optional<base::milliseconds> target_pool::shortest_wait(const service_name& service,
                                                             base::time_point now) const
{
    std::optional<base::milliseconds> shortest;
    for (const auto& [name, target] : m_targets) {
        if (target.entry.service != service || !takes_work(target)) {
            continue;
        }
        const auto limit = limit_at(target.pushback.limit, now);
        if (!must_back_off(target.pushback, now) && !limit) {
            return std::nullopt;
        }
        const auto remaining =
            must_back_off(target.pushback, now)
                ? std::chrono::duration_cast<base::milliseconds>(target.pushback.wait_until - now)
                : request_interval(*limit);
        shortest = std::min(shortest.value_or(remaining), remaining);
    }
    return shortest;
}

double target_pool::limited_rate(const service_name& service, base::time_point now) const
{
    double sum = 0;
    for (const auto& [name, target] : m_targets) {
        if (target.entry.service == service && takes_work(target) &&
            !must_back_off(target.pushback, now)) {
            sum += limit_at(target.pushback.limit, now).value_or(0);
        }
    }
    return sum;
}

} // namespace chicorylink::fleet
