#include "chicorylink/rules/error_list.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::rules {

std::string to_string(const rule_error& error)
{
    return fmt::format("{}:{}:{}: {}; {}", error.file, error.line, error.column, error.message,
                       error.remedy);
}

error_list::error_list(std::string file) : m_file(std::move(file)) {}

void error_list::add(std::uint32_t line, std::uint32_t column, std::string message,
                     std::string remedy)
{
    m_errors.push_back({m_file, line, column, std::move(message), std::move(remedy)});
}

std::vector<rule_error> error_list::take_sorted()
{
    std::stable_sort(
        m_errors.begin(), m_errors.end(), [](const rule_error& left, const rule_error& right) {
            return std::pair(left.line, left.column) < std::pair(right.line, right.column);
        });
    return std::move(m_errors);
}

} // namespace chicorylink::rules
