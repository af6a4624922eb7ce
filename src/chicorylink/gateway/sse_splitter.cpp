#include "chicorylink/gateway/sse_splitter.hpp"

#include <algorithm>

namespace chicorylink::gateway {
namespace {

constexpr std::string_view data_field = "data:";

} // namespace

std::vector<std::string> sse_splitter::feed(std::string_view piece)
{
    std::vector<std::string> events;
    if (m_overflowed) {
        return events;
    }
    m_events.feed(piece);
    while (const auto event = m_events.next()) {
        events.emplace_back(event->bytes);
    }
    m_overflowed = m_events.overflowed();
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
