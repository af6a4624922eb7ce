#ifndef CHICORYLINK_BASE_METRICS_HPP
#define CHICORYLINK_BASE_METRICS_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief Counters, gauges and quantile summaries of a process, exported as Prometheus text.
///
/// A name may have labels: `refusals_total{kind="rate"}`. Thread-safe: metrics are sharded by
/// name, and each shard has its own mutex. Quantiles are estimated by the P-square algorithm of
/// Boost.Accumulators.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// @brief Adds to a counter.
    void add(std::string_view name, std::uint64_t amount = 1);

    /// @brief Sets a gauge.
    void set(std::string_view name, double value);

    /// @brief Adds one observation to a summary, which reports the 0.5, 0.95 and 0.99 quantiles.
    void observe(std::string_view name, double value);

    /// @brief Returns the current value of a counter; zero if it does not exist.
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;

    /// @brief Renders all metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string render() const;

private:
    struct shard;
    static constexpr std::size_t shard_count = 8;

    [[nodiscard]] shard& shard_of(std::string_view name) const;

    std::unique_ptr<shard[]> m_shards;
};

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_METRICS_HPP
