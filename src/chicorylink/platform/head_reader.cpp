#include "chicorylink/platform/head_reader.hpp"

#include "chicorylink/base/text.hpp"

#include <charconv>
#include <string>

namespace chicorylink::platform {
namespace {

constexpr int first_status = 100;
constexpr int first_final_status = 200;

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// Whether a text can be the name of a field (RFC 9110, 5.6.2).
bool is_token(std::string_view text)
{
    constexpr std::string_view token_bytes =
        "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    return !text.empty() && text.find_first_not_of(token_bytes) == std::string_view::npos;
}

} // namespace

bool head_reader::add_line(std::string_view line)
{
    if (line.ends_with('\n')) {
        line.remove_suffix(1);
    }
    const bool has_cr = line.ends_with('\r');
    if (has_cr) {
        line.remove_suffix(1);
    }
    if (m_awaits_status_line) {
        m_ends_lines_with_cr = has_cr;
    }
    const bool is_valid =
        has_cr == m_ends_lines_with_cr && (m_awaits_status_line ? read_status_line(line)
                                           : line.empty()       ? end_head()
                                                                : read_field(line));
    m_is_malformed = m_is_malformed || !is_valid;
    return is_valid;
}

bool head_reader::read_status_line(std::string_view line)
{
    m_awaits_status_line = false;
    m_fields.clear();
    m_status = 0;
    const auto blank = line.find(' ');
    if (blank == std::string_view::npos) {
        return false;
    }
    const auto* end = line.data() + line.size();
    std::from_chars(line.data() + blank + 1, end, m_status);
    return m_status >= first_status;
}

bool head_reader::read_field(std::string_view line)
{
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (colon == std::string_view::npos || !is_token(name)) {
        return false;
    }
    m_fields.emplace_back(base::lower_case(name), std::string(trim(line.substr(colon + 1))));
    return true;
}

bool head_reader::end_head()
{
    if (m_status < first_final_status) {
        m_awaits_status_line = true;
        return true;
    }
    if (m_is_complete) {
        // The end of the trailers.
        return true;
    }
    m_is_complete = !has_multiple_lengths(m_fields);
    return m_is_complete;
}

std::size_t read_head_line(char* data, std::size_t size, std::size_t count, void* reader)
{
    // A count below the line's length makes libcurl abort the call.
    return static_cast<head_reader*>(reader)->add_line({data, size * count}) ? size * count : 0;
}

} // namespace chicorylink::platform
