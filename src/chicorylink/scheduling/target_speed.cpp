#include "chicorylink/scheduling/target_speed.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylink::scheduling {
namespace {

/// The quantile of a target's samples that its factor is learned from.
constexpr double low_quantile = 0.3;

/// Samples at the usual speed that are added to those of a target.
constexpr double prior_samples = 2;

/// Only requests whose expected wait is at most this part of their expected time are samples: the
/// error of the estimated queue would otherwise count as speed.
constexpr double max_wait_fraction = 0.25;

/// Two stated factors that differ by more than this describe a change during the request.
constexpr double max_stated_change = 1.25;

/// Bounds of a sample: both kinds of factor together, which also covers wrong expectations.
constexpr double max_ratio = max_time_factor * max_time_factor;

constexpr double percent_as_usual = 100;

double clamped(double factor)
{
    return std::clamp(factor, min_time_factor, max_time_factor);
}

} // namespace

bool note_statement(target_speed& speed, double percent, base::time_point stated_at,
                    base::time_point now)
{
    const bool is_known = speed.stated_at && *speed.stated_at >= stated_at;
    if (!std::isfinite(percent) || percent <= 0 || is_known ||
        now - stated_at > max_statement_age) {
        return false;
    }
    speed.stated = clamped(percent / percent_as_usual);
    speed.stated_at = stated_at;
    return true;
}

std::optional<double> stated_factor(const target_speed& speed, base::time_point now)
{
    if (!speed.stated_at || now - *speed.stated_at > max_statement_age) {
        return std::nullopt;
    }
    return speed.stated;
}

std::optional<double> start_ratio(const measured_start& start)
{
    if (start.expected_ms <= 0 || start.measured_ms <= 0 ||
        start.expected_wait_ms > max_wait_fraction * start.expected_ms) {
        return std::nullopt;
    }
    double stated = 1;
    if (start.stated_before && start.stated_after) {
        const auto [low, high] = std::minmax(*start.stated_before, *start.stated_after);
        if (high > low * max_stated_change) {
            return std::nullopt;
        }
        stated = std::sqrt(low * high);
    }
    else {
        stated = start.stated_after.value_or(start.stated_before.value_or(1));
    }
    const double ratio = start.measured_ms / (start.expected_ms * stated);
    return std::clamp(ratio, 1 / max_ratio, max_ratio);
}

namespace {

double low_quantile_of(std::array<double, max_speed_samples>& ratios, std::size_t count)
{
    const auto rank = static_cast<std::ptrdiff_t>(low_quantile * static_cast<double>(count - 1));
    const auto end = ratios.begin() + static_cast<std::ptrdiff_t>(count);
    std::nth_element(ratios.begin(), ratios.begin() + rank, end);
    return *(ratios.begin() + rank);
}

} // namespace

void add_sample(target_speed& speed, double ratio, base::time_point now)
{
    speed.samples.at(speed.next_sample) = {ratio, now};
    speed.next_sample = (speed.next_sample + 1) % max_speed_samples;
    speed.learned_at = now;
    std::array<double, max_speed_samples> ratios{};
    speed.valid_samples = 0;
    for (const auto& sample : speed.samples) {
        if (sample.ratio > 0 && now - sample.measured_at <= max_speed_sample_age) {
            ratios.at(speed.valid_samples++) = sample.ratio;
        }
    }
    speed.low = speed.valid_samples == 0 ? 0 : low_quantile_of(ratios, speed.valid_samples);
}

std::optional<double> low_ratio(const target_speed& speed, base::time_point now)
{
    if (speed.valid_samples < min_speed_samples || now - speed.learned_at > max_speed_sample_age) {
        return std::nullopt;
    }
    return speed.low;
}

double usual_ratio(std::vector<double> low_ratios)
{
    if (low_ratios.empty()) {
        return 1;
    }
    std::sort(low_ratios.begin(), low_ratios.end());
    const auto middle = low_ratios.size() / 2;
    return low_ratios.size() % 2 == 1
               ? low_ratios.at(middle)
               : std::sqrt(low_ratios.at(middle - 1) * low_ratios.at(middle));
}

bool update_learned(target_speed& speed, double usual, base::time_point now)
{
    speed.learned = 1;
    const auto low = low_ratio(speed, now);
    if (low && usual > 0) {
        const auto count = static_cast<double>(speed.valid_samples);
        const double relative = *low / usual;
        const double shrunk = std::pow(relative, count / (count + prior_samples));
        const bool is_usual = std::max(shrunk, 1 / shrunk) < 1 + speed_dead_band;
        speed.learned = is_usual ? 1 : clamped(shrunk);
    }
    const bool was_slow = speed.is_slow;
    speed.is_slow = speed.learned >= (was_slow ? recovered_factor : slow_factor);
    return speed.is_slow != was_slow;
}

double time_factor(const target_speed& speed, base::time_point now)
{
    const bool is_learned = now - speed.learned_at <= max_speed_sample_age;
    return (is_learned ? speed.learned : 1) * stated_factor(speed, now).value_or(1);
}

} // namespace chicorylink::scheduling
