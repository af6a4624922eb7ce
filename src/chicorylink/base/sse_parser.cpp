#include "chicorylink/base/sse_parser.hpp"

#include <algorithm>

namespace chicorylink::base {
namespace {

/// Returns the position after the blank line that ends the first event, or npos if there is none.
std::size_t end_of_event(std::string_view text)
{
    const auto lf_end = text.find("\n\n");
    const auto crlf_end = text.find("\r\n\r\n");
    if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos) {
        return std::string_view::npos;
    }
    return lf_end < crlf_end ? lf_end + 2 : crlf_end + 4;
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
    m_consumed = 0;
    m_buffer.append(bytes);
}

std::optional<sse_event> sse_parser::next()
{
    const auto unread = std::string_view{m_buffer}.substr(m_consumed);
    const auto end = end_of_event(unread);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    m_consumed += end;
    const auto bytes = unread.substr(0, end);
    return sse_event{bytes, event_id(bytes), has_only_comments(bytes)};
}

void sse_parser::reset()
{
    m_buffer.clear();
    m_consumed = 0;
}

} // namespace chicorylink::base
