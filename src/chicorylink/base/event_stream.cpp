#include "chicorylink/base/event_stream.hpp"

#include <algorithm>

namespace chicorylink::base {
namespace {

/// The position after the blank line that ends an event; npos when there is none.
std::size_t end_of_event(std::string_view text)
{
    const auto unix_end = text.find("\n\n");
    const auto network_end = text.find("\r\n\r\n");
    if (unix_end == std::string_view::npos && network_end == std::string_view::npos) {
        return std::string_view::npos;
    }
    return unix_end < network_end ? unix_end + 2 : network_end + 4;
}

std::string_view id_of(std::string_view event)
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

/// Whether all lines are empty or comments.
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

void event_stream::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_read);
    m_read = 0;
    m_buffer.append(bytes);
}

std::optional<stream_event> event_stream::next()
{
    const auto rest = std::string_view{m_buffer}.substr(m_read);
    const auto end = end_of_event(rest);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    m_read += end;
    const auto bytes = rest.substr(0, end);
    return stream_event{bytes, id_of(bytes), has_only_comments(bytes)};
}

void event_stream::reset()
{
    m_buffer.clear();
    m_read = 0;
}

} // namespace chicorylink::base
