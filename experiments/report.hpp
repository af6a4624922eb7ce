#ifndef CHICORYLINK_EXPERIMENTS_REPORT_HPP
#define CHICORYLINK_EXPERIMENTS_REPORT_HPP

#include "measures.hpp"

#include <string>
#include <vector>

namespace chicorylink::experiment {

/// @brief The mean figures of one policy in one case of one user.
struct figure_row {
    std::string user;
    std::string case_name;
    std::string policy;
    measure_values values{};
};

/// The name of the project's own policy in figures.
inline constexpr const char* own_policy = "chicorylink";

/// @brief Prints one JSON line for each figure.
void print_json_lines(const std::vector<figure_row>& rows);

/// @brief Prints the figures as a Markdown table, one row for each policy and case.
void print_table(const std::vector<figure_row>& rows);

/// @brief Prints where the own policy is more than 5% worse than the best baseline.
void print_losses(const std::vector<figure_row>& rows);

/// @brief Prints the measures that a user weighs most, over all cases, for each policy.
void print_weighed(const std::vector<figure_row>& rows, const std::string& user,
                   const std::vector<measure>& weighed);

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_REPORT_HPP
