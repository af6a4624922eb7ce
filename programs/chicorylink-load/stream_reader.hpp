#ifndef CHICORYLINK_PROGRAMS_LOAD_STREAM_READER_HPP
#define CHICORYLINK_PROGRAMS_LOAD_STREAM_READER_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace chicorylink::load {

/// @brief Counts the tokens of a response sent as server-sent events.
class stream_reader {
public:
    /// @brief Reads the next bytes, which may end in the middle of an event.
    void read(std::string_view bytes);

    [[nodiscard]] std::size_t tokens() const { return m_tokens; }
    /// @brief Whether the end marker was received.
    [[nodiscard]] bool complete() const { return m_complete; }

private:
    void read_line(std::string_view line);

    std::string m_buffer;
    std::size_t m_tokens = 0;
    bool m_complete = false;
};

} // namespace chicorylink::load

#endif // CHICORYLINK_PROGRAMS_LOAD_STREAM_READER_HPP
