#include "chicorylink/base/line_buffer.hpp"

#include <unistd.h>

#include <fmt/format.h>

namespace chicorylink::base {

void line_buffer::add(std::string_view line)
{
    if (m_buffered.size() + line.size() + 1 > max_buffered_bytes) {
        ++m_unreported_drops;
        ++m_total_dropped;
        return;
    }
    m_buffered.append(line);
    m_buffered.push_back('\n');
}

void line_buffer::flush()
{
    if (m_buffered.empty()) {
        return;
    }
    const auto written = ::write(m_descriptor, m_buffered.data(), m_buffered.size());
    if (written <= 0) {
        // The reader is slow or has closed: keep the lines. New lines are dropped when the buffer
        // is full.
        return;
    }
    m_buffered.erase(0, static_cast<std::size_t>(written));
    if (m_buffered.empty() && m_unreported_drops > 0) {
        m_buffered =
            fmt::format("{{\"event\":\"log_lines_dropped\",\"count\":{}}}\n", m_unreported_drops);
        m_unreported_drops = 0;
    }
}

} // namespace chicorylink::base
