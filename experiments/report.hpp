#ifndef CHICORYLINK_EXPERIMENTS_REPORT_HPP
#define CHICORYLINK_EXPERIMENTS_REPORT_HPP

#include "measures.hpp"

#include <string>
#include <vector>

namespace chicorylink::experiment {

/// @brief The mean measures of one policy in one case of one user.
struct figure_row {
    std::string user;
    std::string case_name;
    std::string policy;
    measure_values values{};
};

/// The name of the project's own policy in the report.
inline constexpr const char* own_policy = "chicorylink";

/// @brief Prints one JSON line for each measure of each row.
void print_json_lines(const std::vector<figure_row>& rows);

/// @brief Prints a Markdown table with one row for each user, case and policy.
void print_table(const std::vector<figure_row>& rows);

/// @brief Prints each measure in which the project's policy is over 5% worse than the best
/// baseline.
void print_losses(const std::vector<figure_row>& rows);

/// @brief Prints the means over all cases of the measures most important to a user, for each
/// policy.
void print_key_measures(const std::vector<figure_row>& rows, const std::string& user,
                        const std::vector<measure>& key_measures);

} // namespace chicorylink::experiment

#endif // CHICORYLINK_EXPERIMENTS_REPORT_HPP
