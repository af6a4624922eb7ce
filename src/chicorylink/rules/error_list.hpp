#ifndef CHICORYLINK_RULES_ERROR_LIST_HPP
#define CHICORYLINK_RULES_ERROR_LIST_HPP

#include "chicorylink/rules/rule_error.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace chicorylink::rules {

/// @brief Collects the errors in one rules text.
class error_list {
public:
    explicit error_list(std::string file);

    void add(std::uint32_t line, std::uint32_t column, std::string message, std::string remedy);

    [[nodiscard]] bool empty() const { return m_errors.empty(); }

    /// @brief Moves out the errors, sorted by line and column.
    [[nodiscard]] std::vector<rule_error> take_sorted();

private:
    std::string m_file;
    std::vector<rule_error> m_errors;
};

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_ERROR_LIST_HPP
