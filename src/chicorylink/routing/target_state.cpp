#include "chicorylink/routing/target_state.hpp"

#include <algorithm>

namespace chicorylink::routing {
namespace {

/// Weight of a new sample in the smoothed times.
constexpr double smoothing = 0.2;

/// The fixed part of the time to first token, expressed in prompt tokens.
constexpr std::int64_t fixed_prompt_tokens = 256;

void note_change(target_state& state, std::int32_t delta, base::time_point now)
{
    state.own_since_report += delta;
    state.recent[state.recent_next % target_state::recent_capacity] = {now, delta};
    ++state.recent_next;
}

/// Sum of the recorded load changes of this VM after a point in time.
std::int32_t changes_after(const target_state& state, base::time_point moment)
{
    std::int32_t sum = 0;
    const auto known = std::min<std::size_t>(state.recent_next, target_state::recent_capacity);
    for (std::size_t index = 0; index < known; ++index) {
        if (state.recent[index].at > moment) {
            sum += state.recent[index].delta;
        }
    }
    return sum;
}

void smooth(double& value, double sample)
{
    value = value == 0 ? sample : value + smoothing * (sample - value);
}

} // namespace

void on_report(target_state& state, const load_report& report, base::time_point now)
{
    const auto measured_at = now - report.age;
    if (state.reported_at && measured_at < *state.reported_at) {
        return;
    }
    state.reported_at = measured_at;
    state.reported_load = report.running + report.waiting;
    state.own_since_report = changes_after(state, measured_at);
    if (report.slots > 0) {
        state.slots = report.slots;
    }
    if (report.leaving) {
        on_availability(state, target_availability::leaving, now);
    }
}

void on_sent(target_state& state, base::tokens work, base::tokens uncached, base::time_point now)
{
    state.own_prefill += uncached;
    ++state.own_in_flight;
    state.own_tokens += work;
    note_change(state, 1, now);
    if (state.ejection.current == health::half_open) {
        ++state.ejection.probes_in_flight;
    }
}

void on_prefill_dropped(target_state& state, base::tokens uncached)
{
    state.own_prefill -= uncached;
}

void on_first_token(target_state& state, base::tokens uncached, base::nanoseconds latency)
{
    state.own_prefill -= uncached;
    const std::chrono::duration<double, std::micro> elapsed = latency;
    const auto size = static_cast<double>(uncached.value() + fixed_prompt_tokens);
    smooth(state.first_token_pace, elapsed.count() / size);
    ++state.samples;
}

void on_finished(target_state& state, base::tokens work, attempt_outcome outcome,
                 base::nanoseconds latency, base::time_point now)
{
    if (state.own_in_flight > 0) {
        --state.own_in_flight;
        state.own_tokens -= work;
        note_change(state, -1, now);
    }
    if (outcome == attempt_outcome::succeeded) {
        const std::chrono::duration<double, std::milli> elapsed = latency;
        smooth(state.service_ms, elapsed.count());
    }
}

void on_availability(target_state& state, target_availability next, base::time_point now)
{
    const auto returns =
        state.availability == target_availability::leaving && next == target_availability::live;
    state.availability = next;
    if (returns) {
        state.warming_since = now;
        state.ejection = ejection_state{};
        state.first_token_pace = 0;
        state.samples = 0;
    }
}

bool load_is_known(const target_state& state, base::time_point now)
{
    return state.reported_at && now - *state.reported_at <= max_report_age;
}

double estimated_load(const target_state& state, std::uint32_t vm_count, double unknown_load,
                      base::time_point now)
{
    const auto own = static_cast<double>(state.own_in_flight);
    if (!load_is_known(state, now)) {
        return std::max(own * vm_count, unknown_load);
    }
    const auto since = static_cast<double>(state.reported_load) + state.own_since_report;
    return std::max(own, since);
}

bool takes_work(const target_state& state)
{
    return state.availability == target_availability::live && allows_work(state.ejection);
}

} // namespace chicorylink::routing
