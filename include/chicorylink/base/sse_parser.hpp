#ifndef CHICORYLINK_BASE_SSE_PARSER_HPP
#define CHICORYLINK_BASE_SSE_PARSER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief One whole server-sent event.
struct sse_event {
    /// The raw bytes, including the final blank line; valid until the next `feed` or `reset`.
    std::string_view bytes;
    /// The value of the `id` field; empty if there is none.
    std::string_view id;
    /// Whether all lines of the event are comments or empty.
    bool is_comment = false;
};

/// @brief Incremental parser that splits a `text/event-stream` body into whole events.
class sse_parser {
public:
    /// Maximum size of an unfinished event; a larger one is refused (see `overflowed`).
    static constexpr std::size_t max_event_bytes = 256UL * 1024;

    /// @brief Takes the next bytes of the body.
    void feed(std::string_view bytes);

    /// @brief Returns the next whole event, or nothing if more bytes are needed.
    [[nodiscard]] std::optional<sse_event> next();

    /// @brief Whether bytes of an unfinished event are left.
    [[nodiscard]] bool has_partial() const { return m_consumed < m_buffer.size(); }

    /// @brief Number of bytes that are not returned in an event yet.
    [[nodiscard]] std::size_t unread() const { return m_buffer.size() - m_consumed; }

    /// @brief Whether an event exceeds the size limit: more than `max_event_bytes` are unread.
    [[nodiscard]] bool overflowed() const { return unread() > max_event_bytes; }

    /// @brief Discards all buffered bytes, including an unfinished event.
    void reset();

private:
    std::string m_buffer;
    std::size_t m_consumed = 0;
    /// Up to where the end of the unfinished event was searched.
    std::size_t m_searched = 0;
};

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_SSE_PARSER_HPP
