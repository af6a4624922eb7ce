#include "report.hpp"

#include <algorithm>
#include <limits>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace chicorylink::experiment {
namespace {

constexpr double loss_ratio = 1.05;

/// Smaller differences are ignored; in the unit of the measure.
constexpr double noise_floor = 0.05;

double value(const figure_row& row, measure metric)
{
    return row.values[static_cast<std::size_t>(metric)];
}

std::vector<measure> all_measures()
{
    std::vector<measure> measures;
    for (std::size_t index = 0; index < measure_count; ++index) {
        measures.push_back(static_cast<measure>(index));
    }
    return measures;
}

const figure_row* best_baseline(const std::vector<figure_row>& rows, const figure_row& policy_row,
                                measure metric)
{
    const figure_row* best = nullptr;
    for (const auto& row : rows) {
        const auto comparable = row.user == policy_row.user &&
                                row.case_name == policy_row.case_name && row.policy != own_policy;
        if (comparable && (best == nullptr || value(row, metric) < value(*best, metric))) {
            best = &row;
        }
    }
    return best;
}

} // namespace

void print_json_lines(const std::vector<figure_row>& rows)
{
    for (const auto& row : rows) {
        for (const auto metric : all_measures()) {
            const nlohmann::json line{
                {"program", "routing_experiment"}, {"user", row.user},
                {"case", row.case_name},           {"policy", row.policy},
                {"measure", to_string(metric)},    {"value", value(row, metric)}};
            fmt::print("{}\n", line.dump());
        }
    }
}

void print_table(const std::vector<figure_row>& rows)
{
    fmt::print("\n| user | case | policy | p50 ms | p95 ms | p99 ms | target s/1000 | MB between "
               "regions | ktokens recomputed | sent away % | worst team / median | wrongful "
               "refusals % |\n");
    fmt::print("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: "
               "|\n");
    for (const auto& row : rows) {
        fmt::print("| {} | {} | {} |", row.user, row.case_name, row.policy);
        for (const auto metric : all_measures()) {
            const auto wide = value(row, metric) >= 100.0;
            fmt::print(" {:.{}f} |", value(row, metric), wide ? 0 : 2);
        }
        fmt::print("\n");
    }
}

void print_losses(const std::vector<figure_row>& rows)
{
    std::size_t compared = 0;
    std::size_t lost = 0;
    fmt::print("\nMore than 5% worse than the best baseline of the same case and measure:\n\n");
    for (const auto& row : rows) {
        if (row.policy != own_policy) {
            continue;
        }
        for (const auto metric : all_measures()) {
            const auto* best = best_baseline(rows, row, metric);
            if (best == nullptr) {
                continue;
            }
            ++compared;
            if (value(row, metric) <= value(*best, metric) * loss_ratio + noise_floor) {
                continue;
            }
            ++lost;
            fmt::print("- {} {} {}: {:.2f} against {:.2f} ({})\n", row.user, row.case_name,
                       to_string(metric), value(row, metric), value(*best, metric), best->policy);
        }
    }
    fmt::print("\n{} of {} comparisons lost\n", lost, compared);
}

void print_key_measures(const std::vector<figure_row>& rows, const std::string& user,
                        const std::vector<measure>& key_measures)
{
    std::vector<std::string> policies;
    for (const auto& row : rows) {
        if (std::find(policies.begin(), policies.end(), row.policy) == policies.end()) {
            policies.push_back(row.policy);
        }
    }
    fmt::print("\n{}: mean over all cases\n\n| policy |", user);
    for (const auto metric : key_measures) {
        fmt::print(" {} |", to_string(metric));
    }
    fmt::print("\n| --- |");
    for (std::size_t column = 0; column < key_measures.size(); ++column) {
        fmt::print(" ---: |");
    }
    fmt::print("\n");
    for (const auto& policy : policies) {
        fmt::print("| {} |", policy);
        for (const auto metric : key_measures) {
            double sum = 0;
            double count = 0;
            for (const auto& row : rows) {
                if (row.user == user && row.policy == policy) {
                    sum += value(row, metric);
                    count += 1;
                }
            }
            fmt::print(" {:.3f} |", sum / std::max(count, 1.0));
        }
        fmt::print("\n");
    }
}

} // namespace chicorylink::experiment
