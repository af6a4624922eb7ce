#ifndef CHICORYLINK_BASE_LINE_BUFFER_HPP
#define CHICORYLINK_BASE_LINE_BUFFER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief Log lines that wait for a descriptor to take them. Bounded; never blocks.
class line_buffer {
public:
    /// Bytes that wait at most; about a second of lines of a busy VM.
    static constexpr std::size_t max_waiting_bytes = 256UL * 1024;

    /// @param descriptor Set to non-blocking by the owner.
    explicit line_buffer(int descriptor) : m_descriptor(descriptor) {}

    /// @brief Adds a line without its line end. It is counted as dropped when there is no room.
    void add(std::string_view line);

    /// @brief Writes as much as the descriptor takes. After lines were dropped, a line with their
    /// number comes first.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return m_dropped_in_all; }

private:
    int m_descriptor;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_in_all = 0;
};

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_LINE_BUFFER_HPP
