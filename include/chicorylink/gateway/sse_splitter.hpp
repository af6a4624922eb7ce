#ifndef CHICORYLINK_GATEWAY_SSE_SPLITTER_HPP
#define CHICORYLINK_GATEWAY_SSE_SPLITTER_HPP

#include "chicorylink/base/event_stream.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::gateway {

/// @brief Cuts a stream of server-sent events into whole events.
///
/// Only whole events are passed on, so that a stream that goes on from another connection
/// continues at an event's start.
class sse_splitter {
public:
    /// The size at which an event without an end is refused.
    static constexpr std::size_t max_event_bytes = base::event_stream::max_event_bytes;

    /// @brief Takes the next bytes.
    /// @return The events that are whole now, each with its closing blank line.
    std::vector<std::string> feed(std::string_view piece);

    /// @brief Whether bytes of an unfinished event are left.
    [[nodiscard]] bool has_partial() const { return m_events.has_partial(); }

    /// @brief Whether an event exceeded the size limit; nothing more is read then.
    [[nodiscard]] bool overflowed() const { return m_overflowed; }

    /// @brief Forgets the unfinished event.
    void reset() { m_events.reset(); }

private:
    base::event_stream m_events;
    bool m_overflowed = false;
};

/// @brief The text after `data:` of an event; empty when it has none.
[[nodiscard]] std::string_view event_data(std::string_view event);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SSE_SPLITTER_HPP
