#ifndef CHICORYLINK_RULES_STATEMENT_HPP
#define CHICORYLINK_RULES_STATEMENT_HPP

#include <cstdint>
#include <string_view>
#include <vector>

namespace chicorylink::rules {

class error_list;

/// @brief A word of a line and the column of its first byte, counted from 1.
struct word {
    std::string_view text;
    std::uint32_t column = 0;
};

/// @brief One `name=value` option of a rule.
struct option {
    word name;
    word value;
};

/// @brief One rule line, split into words but not yet interpreted. Refers to the source text.
struct statement {
    std::uint32_t line = 0;
    word kind;
    std::vector<word> names;
    std::vector<option> options;
    std::string_view comment;
};

/// @brief Splits a line into its words, options and trailing comment.
///
/// Errors that leave the rest of the line readable are reported and the line is returned.
/// @param result Overwritten; passed in so that its buffers are reused for all lines.
/// @return Whether the line contains a rule; false for blank lines, comment lines and lines that
/// can't be read at all, which are reported.
[[nodiscard]] bool read_statement(std::string_view line, std::uint32_t number, statement& result,
                                  error_list& errors);

/// @brief Splits a list such as `a,b`, keeping the column of each item.
[[nodiscard]] std::vector<word> split_list(const word& list);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_STATEMENT_HPP
