#ifndef CHICORYLINK_EXPERIMENTS_MEASURES_HPP
#define CHICORYLINK_EXPERIMENTS_MEASURES_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chicorylink::experiment {

/// @brief The measures; lower is better for each.
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

[[nodiscard]] std::string_view to_string(measure metric);

using measure_values = std::array<double, measure_count>;

/// @brief The data recorded in one run.
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

/// @brief The quantile at `fraction` (0 to 1) by nearest rank; 0 without samples.
[[nodiscard]] double quantile(std::vector<double> samples, double fraction);

[[nodiscard]] measure_values evaluate(const run_record& record);

/// @brief The mean of each measure over several runs.
[[nodiscard]] measure_values mean_of(const std::vector<measure_values>& runs);

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_MEASURES_HPP
