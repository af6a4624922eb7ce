#ifndef CHICORYLINK_BASE_TEXT_HPP
#define CHICORYLINK_BASE_TEXT_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief Removes leading and trailing spaces.
[[nodiscard]] constexpr std::string_view trim_spaces(std::string_view text)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    while (!text.empty() && text.back() == ' ') {
        text.remove_suffix(1);
    }
    return text;
}

/// @brief The beginning of a text from outside, for a log line: at most `max_bytes` bytes, followed
/// by
/// `...` if some are left out. Bytes that are not printable ASCII become `?`.
[[nodiscard]] std::string printable_excerpt(std::string_view text, std::size_t max_bytes);

/// @brief Converts ASCII letters to lower case.
[[nodiscard]] std::string lower_case(std::string_view text);

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_TEXT_HPP
