#include "chicorylink/base/sse_parser.hpp"

#include <algorithm>

namespace chicorylink::base {
namespace {

/// Returns the position after the blank line that ends the first event, or npos if there is none.
/// @param from Position before which no line break is followed by a blank line.
std::size_t end_of_event(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        const auto next_line = text.substr(at + 1);
        if (next_line.starts_with('\n')) {
            return at + 2;
        }
        if (at > 0 && text[at - 1] == '\r' && next_line.starts_with("\r\n")) {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

/// Returns the value of the first `id` field; empty if there is none.
std::string_view event_id(std::string_view event)
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        return line;
    }
    return {};
}

/// Whether all lines are comments or empty.
bool has_only_comments(std::string_view event)
{
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.empty() && line != "\r" && !line.starts_with(':')) {
            return false;
        }
    }
    return true;
}

} // namespace

void sse_parser::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_consumed);
    m_searched -= m_consumed;
    m_consumed = 0;
    m_buffer.append(bytes);
}

std::optional<sse_event> sse_parser::next()
{
    const auto unread = std::string_view{m_buffer}.substr(m_consumed);
    const auto end = end_of_event(unread, m_searched - m_consumed);
    if (end == std::string_view::npos) {
        // The last bytes may begin a blank line.
        constexpr std::size_t lookahead = 2;
        m_searched = m_buffer.size() - std::min(lookahead, unread.size());
        return std::nullopt;
    }
    m_consumed += end;
    m_searched = m_consumed;
    const auto bytes = unread.substr(0, end);
    return sse_event{bytes, event_id(bytes), has_only_comments(bytes)};
}

void sse_parser::reset()
{
    m_buffer.clear();
    m_consumed = 0;
    m_searched = 0;
}

} // namespace chicorylink::base
