#include "chicorylink/fleet/expected_wait.hpp"

#include "chicorylink/fleet/placement.hpp"

#include <algorithm>
#include <vector>

namespace chicorylink::fleet {
namespace {

/// Additional time of one batch step per running request.
constexpr double step_ms_per_request = 0.25;

/// Delay for each earlier request that has no slot of the engine yet.
constexpr double engine_slot_wait_ms = 60.0;

} // namespace

queued_work reported_work(const tracked_target& target, base::time_point now)
{
    return {total_in_flight(target, now), total_unread_tokens(target, now)};
}

queued_work reserved_work(const tracked_target& target, std::uint8_t urgency, base::time_point now)
{
    queued_work work{target.reserved.in_flight, reserved_tokens_before(target, urgency)};
    if (target.reserved.first_due) {
        // A request that others overtake may be late at a healthy target.
        const auto due = std::max(*target.reserved.first_due, target.reserved.begun_at);
        work.overdue = std::max(base::milliseconds{0},
                                std::chrono::duration_cast<base::milliseconds>(now - due));
    }
    return work;
}

double undisturbed_response_ms(const tracked_target& target, double usual_response_ms)
{
    return target.response_ms > 0 ? target.response_ms : usual_response_ms;
}

double usual_response_ms(const target_pool& pool, const service_name& service)
{
    std::vector<double> times;
    for (const auto& [name, target] : pool.targets()) {
        if (target.entry.service == service && target.response_ms > 0) {
            times.push_back(target.response_ms);
        }
    }
    if (times.empty()) {
        return default_response_ms;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

double wait_ms(const tracked_target& target, const queued_work& work, double usual_response_ms,
               double factor)
{
    const auto running = static_cast<double>(work.in_flight);
    const auto slots = static_cast<double>(std::max(target.entry.slots, 1U));
    const double excess = std::max(0.0, running + 1 - slots);
    if (target.is_engine) {
        // A late target is slower than expected or gone; it may stay so for as long again.
        return static_cast<double>(work.overdue.count()) +
               factor * (static_cast<double>(work.unread_tokens) / default_prompt_tokens_per_ms +
                         running * step_ms_per_request + excess * engine_slot_wait_ms);
    }
    return excess / slots * factor * undisturbed_response_ms(target, usual_response_ms);
}

double coordinated_wait_ms(const tracked_target& target, std::uint8_t urgency,
                           double usual_response_ms, base::time_point now)
{
    const double factor = scheduling::time_factor(target.speed, now);
    const double queued =
        wait_ms(target, reserved_work(target, urgency, now), usual_response_ms, factor);
    if (target.tokens_per_event == 0) {
        return queued;
    }
    return std::max(queued, scheduling::wait_ms(target.prefill, urgency,
                                                default_prompt_tokens_per_ms / factor, now));
}

} // namespace chicorylink::fleet
