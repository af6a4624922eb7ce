#include "chicorylink/routing/ejection.hpp"

#include "chicorylink/routing/target_state.hpp"

#include <algorithm>
#include <vector>

namespace chicorylink::routing {
namespace {

/// Maximum number of targets sampled for the median pace.
constexpr std::size_t median_sample = 64;

/// Samples needed to tell whether a target in its current health is slow.
std::uint32_t needed_samples(const ejection_state& state)
{
    return state.current == health::half_open ? 1 : min_samples;
}

double median_pace(std::span<const target_state> pool)
{
    std::vector<double> paces;
    const auto stride = pool.size() / median_sample + 1;
    paces.reserve(pool.size() / stride + 1);
    for (std::size_t index = 0; index < pool.size(); index += stride) {
        const auto& other = pool[index];
        if (other.samples > 0 && other.ejection.current == health::closed) {
            paces.push_back(other.first_token_pace);
        }
    }
    if (paces.empty()) {
        return 0;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    return *middle;
}

bool is_slow(std::span<const target_state> pool, const target_state& evaluated)
{
    if (evaluated.samples < needed_samples(evaluated.ejection)) {
        return false;
    }
    const auto median = median_pace(pool);
    return median > 0 && evaluated.first_token_pace > median * slow_outlier_ratio;
}

base::milliseconds ejection_time(std::uint32_t times_ejected)
{
    constexpr std::uint32_t max_doublings = 8;
    const auto doublings = std::min(times_ejected, max_doublings);
    return std::min(first_ejection * (1U << doublings), max_ejection);
}

void open(ejection_state& state, base::time_point now)
{
    state.current = health::open;
    state.open_until = now + ejection_time(state.times_ejected);
    ++state.times_ejected;
    state.failures_in_a_row = 0;
    state.probes_in_flight = 0;
}

bool may_eject_one_more(std::span<const target_state> pool)
{
    return (count_ejected(pool) + 1) * 2 <= pool.size();
}

bool indicates_health(attempt_outcome outcome)
{
    return outcome != attempt_outcome::cancelled && outcome != attempt_outcome::declined;
}

} // namespace

bool allows_work(const ejection_state& state)
{
    return state.current == health::closed ||
           (state.current == health::half_open && state.probes_in_flight == 0);
}

std::size_t count_ejected(std::span<const target_state> pool)
{
    return static_cast<std::size_t>(
        std::count_if(pool.begin(), pool.end(), [](const target_state& state) {
            return state.ejection.current != health::closed;
        }));
}

void update_health(std::span<target_state> pool, std::size_t index, attempt_outcome outcome,
                   base::time_point now)
{
    auto& evaluated = pool[index];
    auto& state = evaluated.ejection;
    const auto was_probe = state.current == health::half_open;
    if (was_probe && state.probes_in_flight > 0) {
        --state.probes_in_flight;
    }
    if (!indicates_health(outcome)) {
        return;
    }
    const auto succeeded = outcome == attempt_outcome::succeeded;
    state.failures_in_a_row = succeeded ? 0 : state.failures_in_a_row + 1;
    const auto failing = was_probe ? !succeeded : state.failures_in_a_row >= failures_to_eject;
    const auto should_eject = failing || is_slow(pool, evaluated);
    if (state.current == health::open) {
        return;
    }
    if (should_eject) {
        if (was_probe || may_eject_one_more(pool)) {
            open(state, now);
        }
        return;
    }
    if (was_probe) {
        state = ejection_state{};
        evaluated.warming_since = now;
    }
}

void eject_if_slow(std::span<target_state> pool, std::size_t index, base::time_point now)
{
    auto& state = pool[index].ejection;
    if (state.current == health::open || !is_slow(pool, pool[index])) {
        return;
    }
    if (state.current == health::half_open || may_eject_one_more(pool)) {
        open(state, now);
    }
}

void end_ejections(std::span<target_state> pool, base::time_point now)
{
    for (auto& target : pool) {
        auto& state = target.ejection;
        if (state.current == health::open && now >= state.open_until) {
            state.current = health::half_open;
            state.probes_in_flight = 0;
            target.samples = 0;
            target.first_token_pace = 0;
        }
    }
}

} // namespace chicorylink::routing
