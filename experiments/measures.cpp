#include "measures.hpp"

#include <algorithm>
#include <cmath>

namespace chicorylink::experiment {
namespace {

constexpr double percent = 100.0;

/// A 99th percentile of fewer responses is not meaningful.
constexpr std::size_t min_samples = 100;

double percentage(std::uint64_t part, std::uint64_t total)
{
    return total == 0 ? 0 : percent * static_cast<double>(part) / static_cast<double>(total);
}

double& at(measure_values& values, measure metric)
{
    return values[static_cast<std::size_t>(metric)];
}

double worst_over_median(const std::vector<std::vector<double>>& teams)
{
    std::vector<double> tails;
    for (const auto& team : teams) {
        if (team.size() >= min_samples) {
            tails.push_back(quantile(team, 0.99));
        }
    }
    if (tails.empty()) {
        return 0;
    }
    std::sort(tails.begin(), tails.end());
    return tails.back() / tails[tails.size() / 2];
}

} // namespace

std::string_view to_string(measure metric)
{
    constexpr std::array<std::string_view, measure_count> names{
        "first_token_p50_ms",      "first_token_p95_ms",        "first_token_p99_ms",
        "target_seconds_per_1000", "megabytes_between_regions", "recomputed_kilotokens",
        "sent_away_percent",       "worst_team_ratio",          "wrongful_refusals_percent"};
    return names.at(static_cast<std::size_t>(metric));
}

double quantile(std::vector<double> samples, double fraction)
{
    if (samples.empty()) {
        return 0;
    }
    const auto rank = std::ceil(fraction * static_cast<double>(samples.size()));
    const auto index = static_cast<std::ptrdiff_t>(std::max(rank - 1.0, 0.0));
    std::nth_element(samples.begin(), samples.begin() + index, samples.end());
    return samples[static_cast<std::size_t>(index)];
}

measure_values evaluate(const run_record& record)
{
    constexpr double thousand = 1000.0;
    constexpr double million = 1e6;
    std::vector<double> latencies;
    for (const auto& team : record.first_token_ms) {
        latencies.insert(latencies.end(), team.begin(), team.end());
    }
    measure_values values{};
    at(values, measure::first_token_p50_ms) = quantile(latencies, 0.5);
    at(values, measure::first_token_p95_ms) = quantile(latencies, 0.95);
    at(values, measure::first_token_p99_ms) = quantile(latencies, 0.99);
    const auto answered = std::max<std::uint64_t>(record.answered, 1);
    at(values, measure::target_seconds_per_1000) =
        record.target_seconds * thousand / static_cast<double>(answered);
    at(values, measure::megabytes_between_regions) = record.bytes_between_regions / million;
    at(values, measure::recomputed_kilotokens) =
        static_cast<double>(record.recomputed_tokens) / thousand;
    at(values, measure::sent_away_percent) = percentage(record.sent_away, record.calls);
    at(values, measure::worst_team_ratio) = worst_over_median(record.first_token_ms);
    at(values, measure::wrongful_refusals_percent) = percentage(record.refused, record.calls);
    return values;
}

measure_values mean_of(const std::vector<measure_values>& runs)
{
    measure_values sum{};
    for (const auto& run : runs) {
        for (std::size_t index = 0; index < measure_count; ++index) {
            sum[index] += run[index] / static_cast<double>(runs.size());
        }
    }
    return sum;
}

} // namespace chicorylink::experiment
