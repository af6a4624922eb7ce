#include "chicorylink/gateway/sse_splitter.hpp"

#include <algorithm>

namespace chicorylink::gateway {
namespace {

constexpr std::string_view data_field = "data:";

/// The position after the blank line that ends an event; npos when there is none.
std::size_t end_of_event(std::string_view text)
{
    const auto unix_end = text.find("\n\n");
    const auto network_end = text.find("\r\n\r\n");
    if (unix_end == std::string_view::npos && network_end == std::string_view::npos) {
        return std::string_view::npos;
    }
    if (unix_end < network_end) {
        return unix_end + 2;
    }
    return network_end + 4;
}

} // namespace

std::vector<std::string> sse_splitter::feed(std::string_view piece)
{
    std::vector<std::string> events;
    if (m_overflowed) {
        return events;
    }
    m_partial.append(piece);
    std::size_t begin = 0;
    std::string_view rest = m_partial;
    for (auto end = end_of_event(rest); end != std::string_view::npos; end = end_of_event(rest)) {
        events.emplace_back(rest.substr(0, end));
        rest.remove_prefix(end);
        begin += end;
    }
    m_partial.erase(0, begin);
    m_overflowed = m_partial.size() > max_event_bytes;
    return events;
}

std::string_view event_data(std::string_view event)
{
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        if (line.starts_with(data_field)) {
            auto data = line.substr(data_field.size());
            while (!data.empty() && data.front() == ' ') {
                data.remove_prefix(1);
            }
            while (!data.empty() && data.back() == '\r') {
                data.remove_suffix(1);
            }
            return data;
        }
        event.remove_prefix(std::min(event.size(), line.size() + 1));
    }
    return {};
}

} // namespace chicorylink::gateway
