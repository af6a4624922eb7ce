#ifndef CHICORYLINK_BASE_METRICS_HPP
#define CHICORYLINK_BASE_METRICS_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief Counters, gauges and quantile summaries of one process, rendered as Prometheus text.
///
/// A name may carry labels: `refusals_total{kind="rate"}`. Thread-safe; state is in shards by
/// name, each under its own lock. Quantiles come from Boost.Accumulators' P-square estimator.
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

    /// @brief Adds one observation to a summary; its 0.5, 0.95 and 0.99 quantiles are kept.
    void observe(std::string_view name, double value);

    /// @brief The present value of a counter; zero when it was never added to.
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;

    /// @brief All values in the Prometheus text exposition format.
    [[nodiscard]] std::string render() const;

private:
    struct shard;
    static constexpr std::size_t shard_count = 8;

    [[nodiscard]] shard& shard_of(std::string_view name) const;

    std::unique_ptr<shard[]> m_shards;
};

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_METRICS_HPP
