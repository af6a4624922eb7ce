#ifndef CHICORYLINK_BASE_LINE_BUFFER_HPP
#define CHICORYLINK_BASE_LINE_BUFFER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief Bounded buffer of log lines for a non-blocking file descriptor. Never blocks.
class line_buffer {
public:
    /// Maximum buffered bytes: about one second of log lines on a busy VM.
    static constexpr std::size_t max_buffered_bytes = 256UL * 1024;

    /// @param descriptor File descriptor that the owner has set to non-blocking mode.
    explicit line_buffer(int descriptor) : m_descriptor(descriptor) {}

    /// @brief Appends a line, given without a newline. Drops and counts it if the buffer is full.
    void add(std::string_view line);

    /// @brief Writes as many bytes as the descriptor accepts. If lines were dropped, a line with
    /// their number is added once the buffer is empty, before later lines.
    void flush();

    /// @brief Total number of dropped lines.
    [[nodiscard]] std::uint64_t dropped() const { return m_total_dropped; }

private:
    int m_descriptor;
    std::string m_buffered;
    std::uint64_t m_unreported_drops = 0;
    std::uint64_t m_total_dropped = 0;
};

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_LINE_BUFFER_HPP
