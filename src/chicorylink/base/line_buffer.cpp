#include "chicorylink/base/line_buffer.hpp"

#include <unistd.h>

#include <fmt/format.h>

namespace chicorylink::base {

void line_buffer::add(std::string_view line)
{
    if (m_waiting.size() + line.size() + 1 > max_waiting_bytes) {
        ++m_dropped;
        ++m_dropped_in_all;
        return;
    }
    m_waiting.append(line);
    m_waiting.push_back('\n');
}

void line_buffer::flush()
{
    if (m_waiting.empty()) {
        return;
    }
    const auto written = ::write(m_descriptor, m_waiting.data(), m_waiting.size());
    if (written <= 0) {
        // The reader is slow or gone: lines stay until the bound drops them.
        return;
    }
    m_waiting.erase(0, static_cast<std::size_t>(written));
    if (m_waiting.empty() && m_dropped > 0) {
        m_waiting = fmt::format("{{\"event\":\"log_lines_dropped\",\"count\":{}}}\n", m_dropped);
        m_dropped = 0;
    }
}

} // namespace chicorylink::base
