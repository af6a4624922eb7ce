#include "chicorylink/gateway/stream_writer.hpp"

#include "chicorylink/wire/peer_network.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::gateway {
namespace {

constexpr std::size_t piece_bytes = 64UL * 1024;

} // namespace

bool stream_writer::write(std::span<const std::uint8_t> bytes)
{
    const std::lock_guard lock(m_mutex);
    m_unsent.insert(m_unsent.end(), bytes.begin(), bytes.end());
    send_locked();
    const bool full = m_unsent.size() >= full_bytes;
    m_was_full = m_was_full || full;
    return !full;
}

void stream_writer::finish()
{
    const std::lock_guard lock(m_mutex);
    m_finishing = true;
    send_locked();
}

void stream_writer::flush()
{
    std::function<void()> on_room;
    {
        const std::lock_guard lock(m_mutex);
        send_locked();
        if (m_was_full && m_unsent.size() < full_bytes / 2) {
            m_was_full = false;
            on_room = m_on_room;
        }
    }
    if (on_room) {
        on_room();
    }
}

void stream_writer::set_on_room(std::function<void()> on_room)
{
    const std::lock_guard lock(m_mutex);
    m_on_room = std::move(on_room);
}

bool stream_writer::send_locked()
{
    std::size_t sent = 0;
    while (sent < m_unsent.size()) {
        const auto count = std::min(piece_bytes, m_unsent.size() - sent);
        const auto result = m_network.send_data(m_stream, std::span(m_unsent).subspan(sent, count));
        if (result == wire::send_result::closed) {
            m_unsent.clear();
            return true;
        }
        if (result == wire::send_result::full) {
            break;
        }
        sent += count;
    }
    m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(sent));
    if (!m_unsent.empty()) {
        return false;
    }
    if (m_finishing && !m_finished) {
        m_finished = true;
        m_network.finish(m_stream);
    }
    return true;
}

} // namespace chicorylink::gateway
