#ifndef CHICORYLINK_BASE_LOG_LINE_HPP
#define CHICORYLINK_BASE_LOG_LINE_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace chicorylink::base {

/// @brief Builds one JSON log line at low cost. Fields come out in the order in which they are
/// added; the time of day is the caller's to give.
class log_line {
public:
    /// @param event The stable name of what happened, in snake_case.
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

    /// @brief The line without its line end.
    [[nodiscard]] std::string text() const { return m_text + '}'; }

private:
    void begin(std::string_view name);

    std::string m_text;
};

} // namespace chicorylink::base

#endif // CHICORYLINK_BASE_LOG_LINE_HPP
