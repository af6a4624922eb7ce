#ifndef CHICORYLINK_PLATFORM_HEAD_READER_HPP
#define CHICORYLINK_PLATFORM_HEAD_READER_HPP

#include "chicorylink/platform/header_list.hpp"

#include <cstddef>
#include <string_view>

namespace chicorylink::platform {

/// @brief Reads the lines that libcurl delivers to its header callback: the heads of interim
/// responses and of the final one, and trailers.
///
/// Stricter than libcurl, which passes on lines that other parsers read differently: a status below
/// 100, a field name that is no token, a folded line, another line end than that of the status line
/// and more than one length are malformed.
class head_reader {
public:
    /// @brief Reads the next line with its line end; false if the call must be aborted.
    [[nodiscard]] bool add_line(std::string_view line);

    /// @brief Whether the final head has ended. A call that libcurl reports as successful without
    /// that has no response: libcurl stops in silence at a NUL.
    [[nodiscard]] bool is_complete() const { return m_is_complete; }
    [[nodiscard]] bool is_malformed() const { return m_is_malformed; }

    /// @brief The status of the latest head.
    [[nodiscard]] int status() const { return m_status; }
    /// @brief The fields of the latest head and the trailers, names in lower case.
    [[nodiscard]] const header_list& fields() const { return m_fields; }

private:
    [[nodiscard]] bool read_status_line(std::string_view line);
    [[nodiscard]] bool read_field(std::string_view line);
    [[nodiscard]] bool end_head();

    header_list m_fields;
    int m_status = 0;
    bool m_awaits_status_line = true;
    bool m_ends_lines_with_cr = false;
    bool m_is_complete = false;
    bool m_is_malformed = false;
};

/// @brief A header callback of libcurl that passes each line to the `head_reader` it is given.
std::size_t read_head_line(char* data, std::size_t size, std::size_t count, void* reader);

} // namespace chicorylink::platform

#endif // CHICORYLINK_PLATFORM_HEAD_READER_HPP
