#ifndef CHICORYLINK_RULES_STATEMENT_HPP
#define CHICORYLINK_RULES_STATEMENT_HPP

#include <cstdint>
#include <string_view>
#include <vector>

namespace chicorylink::rules {

class error_list;

/// @brief A piece of a line and the column of its first byte, from 1.
struct word {
    std::string_view text;
    std::uint32_t column = 0;
};

/// @brief One `name=value` of a rule.
struct option {
    word name;
    word value;
};

/// @brief One rule line, split but not yet understood. Refers to the text that it was read from.
struct statement {
    std::uint32_t line = 0;
    word kind;
    std::vector<word> names;
    std::vector<option> options;
    std::string_view comment;
};

/// @brief Splits a line into its words, options and trailing comment.
///
/// Faults that leave the rest of the line readable are reported and the line is returned.
/// @param result Overwritten; passed in so that its buffers serve for all lines.
/// @return Whether the line holds a rule; false for blank lines, comment lines and lines that
/// can't be read at all, which are reported.
[[nodiscard]] bool read_statement(std::string_view line, std::uint32_t number, statement& result,
                                  error_list& errors);

/// @brief Splits a list such as `a,b`, keeping the column of each item.
[[nodiscard]] std::vector<word> split_list(const word& list);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_STATEMENT_HPP
