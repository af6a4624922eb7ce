#include "chicorylink/fleet/engine_pace.hpp"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace chicorylink::fleet {
namespace {

/// The lengths must differ by so much for a slope: several times what a token step hides.
constexpr double least_spread_tokens = 500;

/// The part of the requests that may seem slower, or faster, than their engine is.
constexpr double faster_part = 0.25;

double quantile(std::vector<double> values, double part)
{
    const auto index = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

} // namespace

void pace_meter::note_begun(std::uint64_t tokens, base::milliseconds took, base::time_point now)
{
    constexpr int bits_per_class = 2;
    const auto length = static_cast<std::size_t>(std::bit_width(tokens) / bits_per_class);
    auto& kept = m_lengths.at(std::min(length, length_classes - 1));
    const sample newest{static_cast<double>(tokens), static_cast<double>(took.count()), now};
    if (kept.samples.size() < window) {
        kept.samples.push_back(newest);
    }
    else {
        kept.samples[kept.next] = newest;
    }
    kept.next = (kept.next + 1) % window;
    if (kept.next % fewest == 0) {
        measure(now);
    }
}

void pace_meter::measure(base::time_point now)
{
    std::vector<sample> sorted;
    for (const auto& kept : m_lengths) {
        std::copy_if(kept.samples.begin(), kept.samples.end(), std::back_inserter(sorted),
                     [&](const sample& each) { return now - each.at <= memory; });
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const sample& a, const sample& b) { return a.tokens < b.tokens; });
    const auto count = std::min(sorted.size() / 2, window);
    if (count < fewest) {
        return;
    }
    const auto middle = static_cast<std::ptrdiff_t>(count);
    std::vector<double> short_times;
    std::for_each(sorted.begin(), sorted.begin() + middle,
                  [&](const sample& each) { short_times.push_back(each.took_ms); });
    const double short_tokens = sorted[count / 2].tokens;
    const double short_ms = quantile(short_times, faster_part);
    std::vector<double> speeds;
    std::for_each(sorted.end() - middle, sorted.end(), [&](const sample& each) {
        if (each.tokens - short_tokens >= least_spread_tokens && each.took_ms > short_ms) {
            speeds.push_back((each.tokens - short_tokens) / (each.took_ms - short_ms));
        }
    });
    if (speeds.size() < fewest) {
        return;
    }
    engine_pace pace;
    pace.tokens_per_ms = std::clamp(quantile(std::move(speeds), 1 - faster_part),
                                    least_tokens_per_ms, most_tokens_per_ms);
    pace.first_token_ms =
        std::clamp(short_ms - pace.reading_ms(short_tokens), 0.0, most_first_token_ms);
    m_measured = pace;
}

} // namespace chicorylink::fleet
