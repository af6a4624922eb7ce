#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/fleet/placement_codec.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/placement_link.hpp"

#include <utility>

// The part of `placement_link` that tells the coordinator how fast targets and their streams are,
// and logs what it makes of it.

namespace chicorylink::front {
namespace {

/// How often the coordinator is told how fast streams get their tokens.
constexpr base::milliseconds token_report_interval{500};

/// Bounds a report of tokens to 4 KB; targets beyond that are in the next one.
constexpr std::size_t max_tokens_per_message = 256;

} // namespace

void placement_link::apply_paces(const fleet::placement_message& message, const std::string& sender,
                                 base::time_point now)
{
    // A start is compared with what its target has stated meanwhile.
    for (const auto& pace : message.paces) {
        if (pace.number == 0) {
            m_core.counters.add(m_core.pool.on_time_stated(pace, now)
                                    ? "target_times_stated_total"
                                    : "target_times_ignored_total");
        }
    }
    for (const auto& pace : message.paces) {
        if (pace.number != 0) {
            apply_start(sender, pace, now);
        }
    }
}

void placement_link::apply_start(const std::string& sender, const fleet::target_pace& start,
                                 base::time_point now)
{
    for (const auto& change : m_core.coordinator.apply_start(m_core.pool, sender, start, now)) {
        write_log(m_core, log_event(m_core, change.is_slow ? "target_slow" : "target_slow_ended")
                              .add("target", change.target.text())
                              .add("factor", change.factor));
        m_core.counters.add("target_speed_changes_total");
    }
}

void placement_link::note_tokens(base::target_id target, std::uint32_t tokens,
                                 std::chrono::microseconds elapsed)
{
    auto& sum = m_tokens[target];
    sum.tokens += tokens;
    sum.elapsed += elapsed;
}

void placement_link::send_tokens(base::time_point now)
{
    if (m_tokens.empty() || now - m_tokens_sent_at < token_report_interval) {
        return;
    }
    m_tokens_sent_at = now;
    fleet::placement_message message;
    message.run = m_core.settings.self.run;
    // Begins behind the last target of the report before, so that none is left out for good.
    auto next = m_tokens.upper_bound(m_last_token_target);
    while (!m_tokens.empty() && message.tokens.size() < max_tokens_per_message) {
        if (next == m_tokens.end()) {
            next = m_tokens.begin();
        }
        const auto& [target, sum] = *next;
        message.tokens.push_back(
            {target, sum.tokens, std::chrono::duration_cast<base::milliseconds>(sum.elapsed)});
        m_last_token_target = target;
        next = m_tokens.erase(next);
    }
    const auto& ip = coordinator_ip(now);
    if (ip != m_core.settings.self.ip) {
        m_datagrams.send(fleet::encode(message), endpoint_of(ip));
        return;
    }
    for (const auto& entry : message.tokens) {
        m_core.pool.on_tokens(entry.target, entry.tokens, entry.elapsed, now);
    }
}

void placement_link::log_windows(base::time_point now)
{
    using kind = fleet::window_event::kind;
    const bool decides = is_coordinator(now);
    for (const auto& event : m_core.pool.take_window_events()) {
        // The windows of other VMs are without effect until they become the coordinator.
        if (!decides) {
            continue;
        }
        if (event.change == kind::shrunk) {
            m_core.counters.add("start_windows_shrunk_total");
            continue;
        }
        const bool is_begun = event.change == kind::begun;
        m_core.counters.add(is_begun ? "start_windows_begun_total" : "start_windows_ended_total");
        write_log(m_core, log_event(m_core, is_begun ? "start_window_begun" : "start_window_ended")
                              .add("target", event.target.text())
                              .add("cause", event.cause)
                              .add("requests", event.size)
                              .add("lasted_ms", event.lasted.count()));
    }
    const auto count = [&](std::string_view name, std::uint64_t total, std::uint64_t& counted) {
        m_core.counters.add(name, total - std::exchange(counted, total));
    };
    count("start_windows_held_back_total", m_core.coordinator.held_back(), m_counted_held_back);
    count("start_windows_exceeded_total", m_core.coordinator.beyond_windows(), m_counted_beyond);
}

} // namespace chicorylink::front
