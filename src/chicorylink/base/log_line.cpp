#include "chicorylink/base/log_line.hpp"

#include <iterator>

#include <fmt/format.h>

namespace chicorylink::base {
namespace {

/// JSON strings must escape all characters below this one.
constexpr unsigned char first_printable = 0x20;

void append_escaped(std::string& out, std::string_view text)
{
    out.push_back('"');
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            out.push_back('\\');
            out.push_back(c);
        }
        else if (static_cast<unsigned char>(c) < first_printable) {
            fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned char>(c));
        }
        else {
            out.push_back(c);
        }
    }
    out.push_back('"');
}

} // namespace

log_line::log_line(std::string_view event)
{
    m_text.reserve(256);
    m_text.push_back('{');
    add("event", event);
}

void log_line::append_key(std::string_view name)
{
    if (m_text.size() > 1) {
        m_text.push_back(',');
    }
    append_escaped(m_text, name);
    m_text.push_back(':');
}

log_line& log_line::add(std::string_view name, std::string_view value)
{
    append_key(name);
    append_escaped(m_text, value);
    return *this;
}

log_line& log_line::add(std::string_view name, double value)
{
    append_key(name);
    fmt::format_to(std::back_inserter(m_text), "{}", value);
    return *this;
}

log_line& log_line::add(std::string_view name, std::int64_t value)
{
    append_key(name);
    fmt::format_to(std::back_inserter(m_text), "{}", value);
    return *this;
}

log_line& log_line::add(std::string_view name, std::uint64_t value)
{
    append_key(name);
    fmt::format_to(std::back_inserter(m_text), "{}", value);
    return *this;
}

log_line& log_line::add(std::string_view name, bool value)
{
    append_key(name);
    m_text.append(value ? "true" : "false");
    return *this;
}

} // namespace chicorylink::base
