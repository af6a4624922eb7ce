#include "chicorylink/gateway/exchange.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace chicorylink::gateway {

bool exchange::respond(http_response response)
{
    const std::lock_guard lock(m_mutex);
    if (m_begun) {
        return false;
    }
    m_begun = true;
    m_finished = true;
    m_status = response.status;
    m_complete_response = std::move(response);
    wake_locked();
    return true;
}

bool exchange::begin(int status, header_list headers)
{
    const std::lock_guard lock(m_mutex);
    if (m_begun) {
        return false;
    }
    m_begun = true;
    m_status = status;
    m_headers = std::move(headers);
    wake_locked();
    return true;
}

bool exchange::append(std::string_view piece)
{
    const std::lock_guard lock(m_mutex);
    if (m_finished || m_aborted) {
        return true;
    }
    m_buffer.append(piece);
    wake_locked();
    const bool full = m_buffer.size() - m_read_position >= stream_buffer_size;
    m_was_full = m_was_full || full;
    return !full;
}

void exchange::finish()
{
    const std::lock_guard lock(m_mutex);
    m_finished = true;
    wake_locked();
}

void exchange::abort()
{
    const std::lock_guard lock(m_mutex);
    if (m_finished) {
        return;
    }
    m_begun = true;
    m_aborted = true;
    wake_locked();
}

void exchange::set_on_room(std::function<void()> on_room)
{
    const std::lock_guard lock(m_mutex);
    m_on_room = std::move(on_room);
}

bool exchange::response_begun() const
{
    const std::lock_guard lock(m_mutex);
    return m_begun;
}

bool exchange::ended() const
{
    const std::lock_guard lock(m_mutex);
    return m_finished || m_aborted;
}

bool exchange::suspend_for_head(const std::function<void()>& suspend, std::function<void()> wake)
{
    const std::lock_guard lock(m_mutex);
    if (m_begun) {
        return false;
    }
    m_wake = std::move(wake);
    suspend();
    return true;
}

exchange::read_state exchange::read(char* out, std::size_t size, std::size_t& count,
                                    const std::function<void()>& suspend,
                                    std::function<void()> wake)
{
    std::function<void()> on_room;
    auto state = read_state::data;
    {
        const std::lock_guard lock(m_mutex);
        count = std::min(size, m_buffer.size() - m_read_position);
        std::memcpy(out, m_buffer.data() + m_read_position, count);
        m_read_position += count;
        if (m_read_position == m_buffer.size()) {
            m_buffer.clear();
            m_read_position = 0;
        }
        if (m_was_full && m_buffer.size() - m_read_position < stream_buffer_size / 2) {
            m_was_full = false;
            on_room = m_on_room;
        }
        if (count == 0 && m_aborted) {
            state = read_state::aborted;
        }
        else if (count == 0 && m_finished) {
            state = read_state::end;
        }
        else if (count == 0) {
            state = read_state::wait;
            m_wake = std::move(wake);
            suspend();
        }
    }
    if (on_room) {
        on_room();
    }
    return state;
}

void exchange::wake_locked()
{
    if (m_wake) {
        const auto wake = std::exchange(m_wake, nullptr);
        wake();
    }
}

} // namespace chicorylink::gateway
