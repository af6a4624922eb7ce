#ifndef CHICORYLINK_RULES_RULE_ERROR_HPP
#define CHICORYLINK_RULES_RULE_ERROR_HPP

#include <cstdint>
#include <string>

namespace chicorylink::rules {

/// @brief One error in a rules text: its position, what is wrong and how to fix it.
struct rule_error {
    std::string file;
    /// Both count from 1; the column counts bytes.
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string message;
    std::string remedy;
};

/// @brief Formats the error as `file:line:column: message; remedy`.
[[nodiscard]] std::string to_string(const rule_error& error);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_RULE_ERROR_HPP
