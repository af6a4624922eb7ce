#ifndef CHICORYLINK_EXPERIMENTS_MEASURES_HPP
#define CHICORYLINK_EXPERIMENTS_MEASURES_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chicorylink::experiment {

/// @brief What is measured; smaller is better for each.
enum class measure : std::size_t {
    first_token_p50_ms,
    first_token_p95_ms,
    first_token_p99_ms,
    target_seconds_per_1000,
    megabytes_between_regions,
    recomputed_kilotokens,
    sent_away_percent,
    worst_team_ratio,
    wrongful_refusals_percent,
};

inline constexpr std::size_t measure_count = 9;

[[nodiscard]] std::string_view to_string(measure what);

using measure_values = std::array<double, measure_count>;

/// @brief What one run collects.
struct run_record {
    /// Times to the first token of each team, in milliseconds.
    std::vector<std::vector<double>> first_token_ms;
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::uint64_t answered = 0;
    std::uint64_t sent_away = 0;
    double bytes_between_regions = 0;
    double target_seconds = 0;
    std::int64_t recomputed_tokens = 0;
};

/// @brief The value below which a part of the samples lies; 0 without samples.
[[nodiscard]] double quantile(std::vector<double> samples, double part);

[[nodiscard]] measure_values evaluate(const run_record& record);

/// @brief The mean of several runs, measure by measure.
[[nodiscard]] measure_values mean_of(const std::vector<measure_values>& runs);

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_MEASURES_HPP
