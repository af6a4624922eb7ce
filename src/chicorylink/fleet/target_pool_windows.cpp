#include "chicorylink/fleet/target_pool.hpp"
#include "chicorylink/scheduling/start_window.hpp"

#include <utility>

// The part of `target_pool` that limits the requests at targets that start or return.

namespace chicorylink::fleet {
namespace {

/// Events that are kept until they are taken; more are only counted by those that follow. All
/// targets of a region may start at once.
constexpr std::size_t max_window_events = 256;

} // namespace

void target_pool::begin_window(tracked_target& target, std::string_view cause, base::time_point now)
{
    scheduling::begin_window(target.window, target.entry.slots, now);
    if (target.window.is_limiting) {
        add_window_event(target, window_event::kind::begun, cause, now);
    }
}

void target_pool::add_window_event(const tracked_target& target, window_event::kind change,
                                   std::string_view cause, base::time_point now)
{
    if (m_window_events.size() < max_window_events) {
        const auto lasted =
            std::chrono::duration_cast<base::milliseconds>(now - target.window.begun_at);
        m_window_events.push_back({target.entry.name, change, cause, target.window.size, lasted});
    }
}

void target_pool::note_window_change(const tracked_target& target, scheduling::window_change change,
                                     base::time_point now)
{
    switch (change) {
    case scheduling::window_change::shrunk:
        add_window_event(target, window_event::kind::shrunk, {}, now);
        break;
    case scheduling::window_change::full:
        add_window_event(target, window_event::kind::ended, "full", now);
        break;
    case scheduling::window_change::expired:
        add_window_event(target, window_event::kind::ended, "expired", now);
        break;
    case scheduling::window_change::none:
    case scheduling::window_change::grown:
        break;
    }
}

void target_pool::on_reserved_in_time(const target_name& name, base::time_point now)
{
    if (auto* target = find_mutable(name)) {
        const auto change = scheduling::note_good_response(target->window, target->entry.slots);
        note_window_change(*target, change, now);
    }
}

void target_pool::on_reserved_late(const target_name& name, base::time_point sent_at,
                                   base::time_point now)
{
    if (auto* target = find_mutable(name)) {
        note_window_change(*target, scheduling::note_bad_response(target->window, sent_at, now),
                           now);
    }
}

void target_pool::update_windows(base::time_point now)
{
    for (auto& [name, target] : m_targets) {
        const bool is_cold = may_be_cold(target, now);
        if (std::exchange(target.was_cold, is_cold) && !is_cold) {
            begin_window(target, "warm", now);
        }
        note_window_change(target, scheduling::expire_window(target.window, now), now);
    }
}

std::vector<window_event> target_pool::take_window_events()
{
    return std::exchange(m_window_events, {});
}

} // namespace chicorylink::fleet
