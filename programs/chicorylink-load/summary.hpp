#ifndef CHICORYLINK_PROGRAMS_LOAD_SUMMARY_HPP
#define CHICORYLINK_PROGRAMS_LOAD_SUMMARY_HPP

#include "chicorylink/base/units.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace chicorylink::load {

/// @brief How one call ended.
struct call_outcome {
    /// The HTTP status; 0 when there was no response.
    long status = 0;
    /// Whether the stream ended with its end marker.
    bool complete = false;
    /// Measured from the planned start, so that delays in the tool itself are included.
    base::nanoseconds first_token{0};
    base::nanoseconds total_time{0};
    std::size_t tokens = 0;
};

/// @brief Counts and quantiles of a run; quantiles are P-square estimates by Boost.Accumulators.
class summary {
public:
    summary();
    ~summary();
    summary(const summary&) = delete;
    summary& operator=(const summary&) = delete;
    summary(summary&&) = delete;
    summary& operator=(summary&&) = delete;

    void add(const call_outcome& outcome);

    /// @brief Records a call that was not made because too many were open.
    void add_skipped() { ++m_skipped; }

    [[nodiscard]] nlohmann::json to_json() const;
    [[nodiscard]] std::string to_table() const;

    /// @brief Columns for gnuplot: quantile, and milliseconds to the first token and in total.
    [[nodiscard]] std::string to_plot_data() const;

    [[nodiscard]] std::size_t complete() const { return m_complete; }
    [[nodiscard]] std::size_t truncated() const { return m_truncated; }

private:
    struct estimators;

    std::unique_ptr<estimators> m_first_token;
    std::unique_ptr<estimators> m_total_time;
    std::map<long, std::size_t> m_by_status;
    std::size_t m_calls = 0;
    std::size_t m_complete = 0;
    std::size_t m_truncated = 0;
    std::size_t m_skipped = 0;
    std::size_t m_tokens = 0;
};

} // namespace chicorylink::load

#endif // CHICORYLINK_PROGRAMS_LOAD_SUMMARY_HPP
