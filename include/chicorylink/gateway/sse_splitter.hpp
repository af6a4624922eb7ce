#ifndef CHICORYLINK_GATEWAY_SSE_SPLITTER_HPP
#define CHICORYLINK_GATEWAY_SSE_SPLITTER_HPP

#include "chicorylink/base/sse_parser.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace chicorylink::gateway {

/// @brief Splits a stream of server-sent events into complete events.
///
/// Only complete events are forwarded, so that a stream resumed from another connection continues
/// at the start of an event.
class sse_splitter {
public:
    /// Maximum size of an event, in bytes; larger ones are refused.
    static constexpr std::size_t max_event_bytes = base::sse_parser::max_event_bytes;

    /// @brief Parses the next bytes.
    /// @return The events that are now complete, each with its closing blank line.
    std::vector<std::string> feed(std::string_view piece);

    /// @brief Whether bytes of an incomplete event are buffered.
    [[nodiscard]] bool has_partial() const { return m_events.has_partial(); }

    /// @brief Whether an event exceeded the size limit; nothing more is parsed then.
    [[nodiscard]] bool overflowed() const { return m_overflowed; }

    /// @brief Discards the incomplete event.
    void reset() { m_events.reset(); }

private:
    base::sse_parser m_events;
    bool m_overflowed = false;
};

/// @brief The text after `data:` of an event; empty when it has none.
[[nodiscard]] std::string_view event_data(std::string_view event);

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_SSE_SPLITTER_HPP
