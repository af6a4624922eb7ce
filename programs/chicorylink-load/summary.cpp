#include "summary.hpp"

#include <array>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::load {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 6> probabilities{0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
constexpr long ok_status = 200;

using estimator = accumulators::accumulator_set<
    double, accumulators::stats<accumulators::tag::extended_p_square, accumulators::tag::mean,
                                accumulators::tag::max>>;

double milliseconds_of(base::nanoseconds span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

std::string name_of(double probability)
{
    return fmt::format("p{}", probability * 100);
}

} // namespace

struct summary::estimators {
    estimator values{accumulators::tag::extended_p_square::probabilities = probabilities};
    std::size_t count = 0;

    void add(base::nanoseconds span)
    {
        values(milliseconds_of(span));
        ++count;
    }

    [[nodiscard]] std::vector<double> quantiles() const
    {
        std::vector<double> estimates;
        for (std::size_t index = 0; index < probabilities.size(); ++index) {
            estimates.push_back(count == 0 ? 0.0 : accumulators::extended_p_square(values)[index]);
        }
        return estimates;
    }
};

summary::summary()
    : m_first_token(std::make_unique<estimators>()), m_total_time(std::make_unique<estimators>())
{
}

summary::~summary() = default;

void summary::add(const call_outcome& outcome)
{
    ++m_calls;
    ++m_by_status[outcome.status];
    m_tokens += outcome.tokens;
    if (outcome.status != ok_status) {
        return;
    }
    if (!outcome.complete) {
        ++m_truncated;
        return;
    }
    ++m_complete;
    m_first_token->add(outcome.first_token);
    m_total_time->add(outcome.total_time);
}

nlohmann::json summary::to_json() const
{
    nlohmann::json report{{"calls", m_calls},
                          {"complete", m_complete},
                          {"truncated", m_truncated},
                          {"skipped", m_skipped},
                          {"tokens", m_tokens}};
    for (const auto& [status, count] : m_by_status) {
        report["by_status"][std::to_string(status)] = count;
    }
    const auto first = m_first_token->quantiles();
    const auto total_time = m_total_time->quantiles();
    for (std::size_t index = 0; index < probabilities.size(); ++index) {
        report["first_token_ms"][name_of(probabilities[index])] = first[index];
        report["whole_ms"][name_of(probabilities[index])] = total_time[index];
    }
    return report;
}

std::string summary::to_table() const
{
    auto text = fmt::format("calls {}  complete {}  truncated {}  not made {}  tokens {}\n",
                            m_calls, m_complete, m_truncated, m_skipped, m_tokens);
    for (const auto& [status, count] : m_by_status) {
        text += fmt::format("  {} {}\n", status == 0 ? "no answer" : std::to_string(status), count);
    }
    text += fmt::format("{:<10}{:>18}{:>14}\n", "quantile", "first token ms", "whole ms");
    const auto first = m_first_token->quantiles();
    const auto total_time = m_total_time->quantiles();
    for (std::size_t index = 0; index < probabilities.size(); ++index) {
        text += fmt::format("{:<10}{:>18.1f}{:>14.1f}\n", name_of(probabilities[index]),
                            first[index], total_time[index]);
    }
    return text;
}

std::string summary::to_plot_data() const
{
    std::string text = "# quantile first_token_ms whole_ms\n";
    const auto first = m_first_token->quantiles();
    const auto total_time = m_total_time->quantiles();
    for (std::size_t index = 0; index < probabilities.size(); ++index) {
        text += fmt::format("{} {:.3f} {:.3f}\n", probabilities[index], first[index],
                            total_time[index]);
    }
    return text;
}

} // namespace chicorylink::load
