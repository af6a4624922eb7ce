#ifndef CHICORYLINK_BASE_LOG_LINE_HPP
#define CHICORYLINK_BASE_LOG_LINE_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief Builds one JSON log line at low cost. Fields are written in the order in which they are
/// added; the caller adds the timestamp.
class log_line {
public:
    /// @param event Stable name of the event, in snake_case.
    explicit log_line(std::string_view event);

    log_line& add(std::string_view name, std::string_view value);
    log_line& add(std::string_view name, const char* value)
    {
        return add(name, std::string_view{value});
    }
    log_line& add(std::string_view name, std::int64_t value);
    log_line& add(std::string_view name, std::uint64_t value);
    log_line& add(std::string_view name, int value)
    {
        return add(name, static_cast<std::int64_t>(value));
    }
    log_line& add(std::string_view name, unsigned value)
    {
        return add(name, static_cast<std::uint64_t>(value));
    }
    log_line& add(std::string_view name, bool value);
    /// @brief Adds a finite number.
    log_line& add(std::string_view name, double value);

    /// @brief Returns the line without a newline.
    [[nodiscard]] std::string text() const { return m_text + '}'; }

private:
    void append_key(std::string_view name);

    std::string m_text;
};

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_LOG_LINE_HPP
