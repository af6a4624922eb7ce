#ifndef CHICORYLINK_BASE_EVENT_STREAM_HPP
#define CHICORYLINK_BASE_EVENT_STREAM_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief One whole server-sent event.
struct stream_event {
    /// Its bytes with the closing blank line; valid until the stream is fed again.
    std::string_view bytes;
    /// The value of its `id` line; empty without one.
    std::string_view id;
    /// Whether it holds nothing but comments.
    bool is_comment = false;
};

/// @brief Cuts the body of an event stream into whole events.
class event_stream {
public:
    /// The size at which an event without an end is refused.
    static constexpr std::size_t max_event_bytes = 256UL * 1024;

    /// @brief Takes the next bytes of the body.
    void feed(std::string_view bytes);

    /// @brief The next whole event; none when more bytes are needed.
    [[nodiscard]] std::optional<stream_event> next();

    /// @brief Whether bytes of an unfinished event are left.
    [[nodiscard]] bool has_partial() const { return m_read < m_buffer.size(); }

    /// @brief Whether an event exceeded the size limit.
    [[nodiscard]] bool overflowed() const { return m_buffer.size() - m_read > max_event_bytes; }

    /// @brief Forgets the unfinished event.
    void reset();

private:
    std::string m_buffer;
    std::size_t m_read = 0;
};

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_EVENT_STREAM_HPP
